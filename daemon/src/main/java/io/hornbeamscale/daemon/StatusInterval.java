package io.hornbeamscale.daemon;

/** The pause between two status messages of an agent. It grows with the number of entries, to bound the bytes. */
final class StatusInterval {
    private static final long MIN_MILLIS = 250;
    private static final long MESSAGE_BYTES = 110;
    /** An entry that watches 20 agents of 12 entries each then receives 2 KB/s of status. */
    private static final long BYTES_PER_SECOND = 1_200;

    private static final long MILLIS_PER_SECOND = 1_000;

    private StatusInterval() {}

    /** Returns the pause in milliseconds for a number of connected entries. */
    static long millis(int entries) {
        return Math.max(MIN_MILLIS, entries * MESSAGE_BYTES * MILLIS_PER_SECOND / BYTES_PER_SECOND);
    }
}
