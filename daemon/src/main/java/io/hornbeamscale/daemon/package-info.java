/** The entry and agent daemons and the command line. */
package io.hornbeamscale.daemon;
