/** Feeds the controllers of membership and of document distribution with messages, replies and time. */
package io.hornbeamscale.daemon.control;
