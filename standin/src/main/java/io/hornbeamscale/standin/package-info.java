/** Loopback stand-ins of the outside systems, with fault switches. */
package io.hornbeamscale.standin;
