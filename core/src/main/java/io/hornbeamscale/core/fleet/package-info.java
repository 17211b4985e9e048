/** The backend servers that an entry knows, which of them take requests, and how busy they are. */
package io.hornbeamscale.core.fleet;
