package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Asks another entry for the items of the store that changed after a revision.
 *
 * @param afterRevision the revision up to which the sender knows all changes
 */
public record StoreItemsRequestMessage(@JsonProperty("a") long afterRevision) implements Message {}
