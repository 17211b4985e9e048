/** Propagation of document versions: few nodes watch the store, the others learn from peers. */
package io.hornbeamscale.core.distribute;
