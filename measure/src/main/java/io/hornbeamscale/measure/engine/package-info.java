/** A simulated engine on a simulated clock, with continuous batching, limited memory, preemption and a prefix cache. */
package io.hornbeamscale.measure.engine;
