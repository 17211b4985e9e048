/** Estimates of output lengths, learned online. */
package io.hornbeamscale.core.estimate;
