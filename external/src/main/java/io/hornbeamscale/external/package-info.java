/** Clients of the systems that the product's own interface uses: store, VM list, weight store, engine commands. */
package io.hornbeamscale.external;
