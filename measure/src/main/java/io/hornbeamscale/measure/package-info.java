/** Scenarios, baselines and benchmarks. */
package io.hornbeamscale.measure;
