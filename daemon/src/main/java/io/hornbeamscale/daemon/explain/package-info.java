/** Explains one request afterwards, from the logs of the processes. */
package io.hornbeamscale.daemon.explain;
