package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * Carries a whole document.
 *
 * @param version the version
 * @param revision the revision of the store's key for this version
 * @param entities name to text of all entities; null means none
 * @param isReplicated whether enough replicas of the sender's region hold the version
 */
public record ConfigSnapshotMessage(
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("en") Map<String, String> entities,
        @JsonProperty("se") boolean isReplicated)
        implements Message {
    /** Replaces missing optional fields. */
    public ConfigSnapshotMessage {
        entities = entities == null ? Map.of() : Map.copyOf(entities);
    }
}
