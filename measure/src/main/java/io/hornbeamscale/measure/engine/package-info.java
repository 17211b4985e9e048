/** A fake engine on a manual clock: continuous batching, limited memory, preemption, prefix cache. */
package io.hornbeamscale.measure.engine;
