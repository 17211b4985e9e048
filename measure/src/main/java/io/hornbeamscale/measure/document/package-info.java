/** Measurement of the size, validation time and publishing cost of the operators' document. */
package io.hornbeamscale.measure.document;
