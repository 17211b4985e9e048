/** Microbenchmarks of routing decisions. */
package io.hornbeamscale.measure.bench;
