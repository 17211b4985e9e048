package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * A version of the document as named entities with their texts.
 *
 * @param version the version, 0 for no document; a higher version is newer
 * @param revision the revision of the document's key in the store for this version, 0 for none
 * @param entities name to text, such as {@code customer/petra} to a line of JSON, not null
 */
public record ConfigSnapshot(long version, long revision, Map<String, String> entities) {
    /** The snapshot of a node that has no document. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, 0, Map.of());

    /** Checks and copies the components. */
    public ConfigSnapshot {
        Arguments.notNegative(version, "version");
        Arguments.notNegative(revision, "revision");
        entities = Map.copyOf(Arguments.notNull(entities, "entities"));
    }

    /**
     * Computes a checksum over the version and the entities. It does not depend on the order of the entities.
     *
     * @return the checksum
     */
    public long checksum() {
        long sum = version;
        for (Map.Entry<String, String> entity : entities.entrySet()) {
            sum += entityChecksum(entity.getKey(), entity.getValue());
        }
        return sum;
    }

    private static long entityChecksum(String name, String text) {
        long mixed = name.hashCode() * 0x9E3779B97F4A7C15L + text.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 31);
    }
}
