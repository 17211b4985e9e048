/** Exactly-once, in-order delivery of streams: event ids, assembly at the entry and retention at the agent. */
package io.hornbeamscale.core.stream;
