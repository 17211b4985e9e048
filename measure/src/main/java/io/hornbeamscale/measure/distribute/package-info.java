/** Measures the propagation of document versions and of membership with the size of the fleet, on a manual clock. */
package io.hornbeamscale.measure.distribute;
