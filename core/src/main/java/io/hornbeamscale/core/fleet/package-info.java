/** The backend servers known to an entry, and which of them take requests. */
package io.hornbeamscale.core.fleet;
