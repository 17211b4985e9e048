/**
 * The entry that sends requests straight to backend servers: callers, backend servers, the metadata store and other
 * entries on the outside, the decisions of the core inside. What names and formats the outside uses, an adapter says.
 */
package io.hornbeamscale.gateway;
