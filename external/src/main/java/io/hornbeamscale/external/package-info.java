/** Interfaces and HTTP clients of the external systems: store, VM list, weight store, engine commands. */
package io.hornbeamscale.external;
