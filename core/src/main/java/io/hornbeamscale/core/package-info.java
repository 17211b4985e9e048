/** Every decision of the system, free of sockets, threads and clocks. */
package io.hornbeamscale.core;
