/** Fencing of commands to backend servers that do not check fencing numbers themselves. */
package io.hornbeamscale.core.fence;
