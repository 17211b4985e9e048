/** Distribution of document versions: a few nodes watch the store, the others receive versions from peers. */
package io.hornbeamscale.core.distribute;
