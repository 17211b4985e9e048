/** Descriptions of the work that is queued, reserved and run. */
package io.hornbeamscale.core.work;
