/** Messages between processes and their framing. */
package io.hornbeamscale.wire;
