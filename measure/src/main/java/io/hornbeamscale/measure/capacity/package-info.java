/** Slopes of state, messages and processor time with size, for the capacity page. */
package io.hornbeamscale.measure.capacity;
