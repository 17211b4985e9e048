/** Scenarios that drive the controllers of the core against fake engines, and the figures they yield. */
package io.hornbeamscale.measure.sim;
