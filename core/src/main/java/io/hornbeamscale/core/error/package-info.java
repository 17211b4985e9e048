/** The closed list of error kinds and the answers they map to. */
package io.hornbeamscale.core.error;
