/** Explains after the fact, from the logs of the processes, what happened to one request. */
package io.hornbeamscale.daemon.explain;
