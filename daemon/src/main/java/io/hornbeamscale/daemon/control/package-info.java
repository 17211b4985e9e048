/** Drives the state machines of membership, document versions and customers' limits with messages, replies and time. */
package io.hornbeamscale.daemon.control;
