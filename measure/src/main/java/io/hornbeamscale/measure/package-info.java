/** Simulated scenarios with baseline policies, capacity measurements and benchmarks. */
package io.hornbeamscale.measure;
