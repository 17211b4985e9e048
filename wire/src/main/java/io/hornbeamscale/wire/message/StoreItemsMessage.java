package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Carries items of the store from one entry to another.
 *
 * @param afterEra the era of {@code afterRevision}; 0 if missing, as older versions do not send it
 * @param afterRevision the revision after which the items contain all changes; a receiver that does not know all
 *     changes up to it still misses some
 * @param era the era of {@code revision}; 0 if missing
 * @param revision the revision up to which the items contain all changes
 * @param items the items; null means none
 */
public record StoreItemsMessage(
        @JsonProperty("b") long afterEra,
        @JsonProperty("a") long afterRevision,
        @JsonProperty("e") long era,
        @JsonProperty("r") long revision,
        @JsonProperty("i") List<Item> items)
        implements Message {
    /** Replaces missing optional fields. */
    public StoreItemsMessage {
        items = items == null ? List.of() : List.copyOf(items);
    }

    /**
     * One item.
     *
     * @param key the key; null means empty
     * @param era the era of the revision; 0 if missing
     * @param revision the revision of its last change
     * @param value the value, read from its position, null if the item was removed
     */
    public record Item(
            @JsonProperty("k") String key,
            @JsonProperty("e") long era,
            @JsonProperty("r") long revision,
            @JsonProperty("v") ByteBuffer value) {
        /** Replaces a missing key. */
        public Item {
            key = key == null ? "" : key;
        }
    }
}
