/** Chooses backend servers for requests that an entry sends directly to them. */
package io.hornbeamscale.core.placement;
