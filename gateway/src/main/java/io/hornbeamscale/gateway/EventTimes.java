package io.hornbeamscale.gateway;

/** When the events of one stream arrived: the time to the first one and the longest gap between two. */
final class EventTimes {
    private long firstMillis = -1;
    private long lastAtMillis;
    private long longestGapMillis;
    private long longestGapBeforeId;

    /** Returns whether an event has arrived. */
    boolean hasEvents() {
        return firstMillis >= 0;
    }

    /**
     * Records an event.
     *
     * @param id the id of the event
     * @param requestedAtMillis when the request arrived, in milliseconds
     * @param nowMillis the present time
     */
    void record(long id, long requestedAtMillis, long nowMillis) {
        if (firstMillis < 0) {
            firstMillis = nowMillis - requestedAtMillis;
        } else if (nowMillis - lastAtMillis > longestGapMillis) {
            longestGapMillis = nowMillis - lastAtMillis;
            longestGapBeforeId = id;
        }
        lastAtMillis = nowMillis;
    }

    @Override
    public String toString() {
        return "first after " + firstMillis + " ms, longest gap " + longestGapMillis + " ms to event "
                + longestGapBeforeId;
    }
}
