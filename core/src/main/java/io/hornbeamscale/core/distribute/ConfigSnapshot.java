package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.util.Arguments;
import java.util.Map;

/**
 * A version of the configuration document as a map of its entities, such as customers and services, in JSON.
 *
 * @param version the version, 0 for no document; a higher version is newer
 * @param revision the revision of the document's key in the store for this version, 0 for none
 * @param entities the entities' JSON texts by name, such as {@code customer/petra}, not null
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
     * Computes a checksum of the version and the entities. The checksum does not depend on the order of the entities.
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

    /** Combines the hashes of name and text, and mixes the bits with constants of the SplitMix64 generator. */
    private static long entityChecksum(String name, String text) {
        long mixed = name.hashCode() * 0x9E3779B97F4A7C15L + text.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 31);
    }
}
