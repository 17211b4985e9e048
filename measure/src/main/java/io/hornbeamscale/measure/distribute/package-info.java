/** Measures the propagation of document versions and membership by the number of nodes, on a simulated clock. */
package io.hornbeamscale.measure.distribute;
