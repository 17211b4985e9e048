/** Micro-benchmarks of decisions. */
package io.hornbeamscale.measure.bench;
