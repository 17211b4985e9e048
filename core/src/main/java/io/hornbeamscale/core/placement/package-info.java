/** Chooses backend servers for requests that go from an entry straight to them. */
package io.hornbeamscale.core.placement;
