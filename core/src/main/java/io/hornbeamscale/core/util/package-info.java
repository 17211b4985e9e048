/** Argument checks shared by all packages. */
package io.hornbeamscale.core.util;
