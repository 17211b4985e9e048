package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Asks another entry for the store's items that changed behind a revision.
 *
 * @param afterRevision the revision up to which the sender knows all changes
 */
public record StoreItemsRequestMessage(@JsonProperty("a") long afterRevision) implements Message {}
