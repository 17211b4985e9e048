/** The entry side of request queueing and of the choice of backend servers. */
package io.hornbeamscale.core.dispatch;
