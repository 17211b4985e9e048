/** Streams that reach the caller once and in order: resumption ids, assembly at the entry, retention at the agent. */
package io.hornbeamscale.core.stream;
