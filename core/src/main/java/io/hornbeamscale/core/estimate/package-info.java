/** Estimates of output lengths that are learned while the system runs. */
package io.hornbeamscale.core.estimate;
