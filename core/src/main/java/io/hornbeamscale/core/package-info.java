/** The decision logic of the system, without sockets, threads or clocks. */
package io.hornbeamscale.core;
