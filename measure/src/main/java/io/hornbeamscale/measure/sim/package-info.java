/** Simulates scenarios with the controllers of the core and simulated engines, and computes figures. */
package io.hornbeamscale.measure.sim;
