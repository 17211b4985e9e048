package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * A document as distribution sees it: a version and named entities with their text.
 *
 * @param version the version, 0 for none; a higher version is newer
 * @param revision the revision of the store's key that held the version, 0 for none
 * @param entities name to text, such as {@code customer/petra} to a line of JSON, not null
 */
public record ConfigSnapshot(long version, long revision, Map<String, String> entities) {
    /** The snapshot of a node that knows no document. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, 0, Map.of());

    /** Checks and copies the parts. */
    public ConfigSnapshot {
        Arguments.notNegative(version, "version");
        Arguments.notNegative(revision, "revision");
        entities = Map.copyOf(Arguments.notNull(entities, "entities"));
    }

    /**
     * Returns a checksum of the version and the entities that does not depend on their order.
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
