/** Measures how heap, message sizes and processor time grow with size, for the capacity page. */
package io.hornbeamscale.measure.capacity;
