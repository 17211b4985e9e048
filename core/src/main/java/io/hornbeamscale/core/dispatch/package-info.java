/** Entry side: queueing of requests and choice of backend servers. */
package io.hornbeamscale.core.dispatch;
