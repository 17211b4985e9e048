package io.hornbeamscale.gateway;

/**
 * Decides what a process takes that was asked to stop, and when it ends. A connection that was opened just before the
 * balancer noticed still gets its short requests answered. Streams that might not end in time are refused at once, so
 * that their callers go to another entry; their greatest length counts, since hints of the length are often too low.
 * Safe for use by several threads.
 */
final class StopController implements GatewayHandler.Stopping {
    /** How long before the kill the process ends by itself, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 700;

    /** The longest time in which a request has to end that is still taken, as a share of the time left. */
    private static final double TAKEN_SHARE = 0.8;

    /** How long a stopping process goes on to accept connections although nothing runs, in milliseconds. */
    private static final long QUIET_MILLIS = 3_500;

    /** The time that one token of a stream takes on a busy server, in milliseconds. */
    private static final double TOKEN_MILLIS = 12;

    private volatile long graceMillis;
    private volatile long stoppedAtMillis = Long.MIN_VALUE;

    StopController(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    void setGrace(long millis) {
        graceMillis = millis;
    }

    void stop(long nowMillis) {
        stoppedAtMillis = nowMillis;
    }

    @Override
    public boolean isStopping() {
        return stoppedAtMillis != Long.MIN_VALUE;
    }

    @Override
    public boolean isRefused(RelayRequest request) {
        if (!isStopping()) {
            return false;
        }
        long left = stoppedAtMillis + graceMillis - END_MARGIN_MILLIS - request.arrivedAtMillis();
        double longest = request.service().engine().isPresent()
                ? request.maxTokens() * TOKEN_MILLIS + request.route().objectiveMillis()
                : request.route().objectiveMillis();
        return longest > left * TAKEN_SHARE;
    }

    /** Returns whether the process may end. */
    boolean isOver(int running, long nowMillis) {
        if (!isStopping()) {
            return false;
        }
        long stopping = nowMillis - stoppedAtMillis;
        return stopping >= graceMillis - END_MARGIN_MILLIS || (running == 0 && stopping >= QUIET_MILLIS);
    }
}
