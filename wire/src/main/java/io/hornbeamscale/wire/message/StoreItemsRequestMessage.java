package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Asks another entry for the items of the store that changed after a revision.
 *
 * @param era the era of the revision; 0 if missing, as older versions do not send it
 * @param afterRevision the revision up to which the sender knows all changes
 */
public record StoreItemsRequestMessage(
        @JsonProperty("e") long era, @JsonProperty("a") long afterRevision) implements Message {}
