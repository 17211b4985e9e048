/** Decides when a request that waits long for its response is sent to a second server. */
package io.hornbeamscale.core.hedge;
