/** Argument checks and digests for all packages. */
package io.hornbeamscale.core.util;
