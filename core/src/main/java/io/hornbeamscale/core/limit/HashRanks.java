package io.hornbeamscale.core.limit;

/** Ranks nodes by a hash that is the same on every node. */
public final class HashRanks {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private HashRanks() {}

    /**
     * Returns the rank of a node for a key.
     *
     * @param node the node, not null
     * @param key the key, not null
     * @return the rank
     */
    public static long rank(String node, String key) {
        long hash = FNV_OFFSET;
        hash = add(hash, node);
        hash = (hash ^ 0xff) * FNV_PRIME;
        hash = add(hash, key);
        // The finalizer spreads names that differ only in their last character.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    private static long add(long hash, String text) {
        long next = hash;
        for (int i = 0; i < text.length(); i++) {
            next = (next ^ text.charAt(i)) * FNV_PRIME;
        }
        return next;
    }
}
