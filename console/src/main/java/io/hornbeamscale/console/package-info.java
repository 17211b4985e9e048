/** The operator console. */
package io.hornbeamscale.console;
