package io.hornbeamscale.daemon;

/** The interval between status messages of an agent. It grows with the number of entries, to limit the traffic. */
final class StatusInterval {
    private static final long MIN_MILLIS = 250;
    private static final long STATUS_MESSAGE_BYTES = 110;

    /** With this limit, an entry that is connected to 20 agents of 12 entries each receives 2 KB/s of status. */
    private static final long MAX_BYTES_PER_SECOND = 1_200;

    private static final long MILLIS_PER_SECOND = 1_000;

    private StatusInterval() {}

    /** Returns the interval in milliseconds for a number of connected entries. */
    static long millis(int entries) {
        return Math.max(MIN_MILLIS, entries * STATUS_MESSAGE_BYTES * MILLIS_PER_SECOND / MAX_BYTES_PER_SECOND);
    }
}
