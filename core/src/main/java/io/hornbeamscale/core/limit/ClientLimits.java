package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;

/**
 * The limits on what an entry holds for all of its callers.
 *
 * @param heldBytes the bytes held for callers, greater than 0
 * @param connections the open connections of callers, greater than 0
 */
public record ClientLimits(long heldBytes, int connections) {
    /**
     * The share of the heap for callers. The other half is for the process itself: about 15 MB are reachable without
     * callers, and the connections, the fleet, responses in transit and the garbage collection need room too.
     */
    private static final double HEAP_SHARE = 0.5;

    /** The share of the descriptors for callers; the rest is for files, servers, the store and other entries. */
    private static final double DESCRIPTOR_SHARE = 0.75;

    /** The heap for each connection, in bytes, which bounds the connections where descriptors are plentiful. */
    private static final long HEAP_BYTES_PER_CONNECTION = 16 * 1_024;

    /** Checks the arguments. */
    public ClientLimits {
        Arguments.positive(heldBytes, "heldBytes");
        Arguments.positive(connections, "connections");
    }

    /**
     * Returns the limits of a process.
     *
     * @param heapBytes the greatest size of its heap, in bytes, greater than 0
     * @param descriptors the greatest number of its open descriptors, greater than 0
     * @return the limits, never null
     */
    public static ClientLimits ofProcess(long heapBytes, long descriptors) {
        Arguments.positive(heapBytes, "heapBytes");
        Arguments.positive(descriptors, "descriptors");
        long byDescriptors = Math.round(descriptors * DESCRIPTOR_SHARE);
        long connections = Math.min(byDescriptors, heapBytes / HEAP_BYTES_PER_CONNECTION);
        return new ClientLimits(Math.max(1, Math.round(heapBytes * HEAP_SHARE)), (int)
                Math.max(1, Math.min(Integer.MAX_VALUE, connections)));
    }

    /**
     * Returns the limits with those of the settings in place of the derived ones.
     *
     * @param bytes the bytes held for callers, 0 for the derived number
     * @param connectionCount the open connections of callers, 0 for the derived number
     * @return the limits, never null
     * @throws IllegalArgumentException if a number is negative
     */
    public ClientLimits withSettings(long bytes, int connectionCount) {
        return new ClientLimits(bytes == 0 ? heldBytes : bytes, connectionCount == 0 ? connections : connectionCount);
    }
}
