/** Composes the decisions of an agent. */
package io.hornbeamscale.core.agent;
