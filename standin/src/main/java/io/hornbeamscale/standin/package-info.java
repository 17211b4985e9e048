/** Stand-ins for external systems as HTTP servers on the loopback address, with fault injection. */
package io.hornbeamscale.standin;
