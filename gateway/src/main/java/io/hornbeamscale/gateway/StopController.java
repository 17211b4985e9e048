package io.hornbeamscale.gateway;

/**
 * Decides which requests a stopping process still accepts, and when it exits. Short requests are still answered, since
 * callers may have connected just before the load balancer noticed the stop. Streams that might not end in time are
 * refused at once, so that their callers go to another entry; they are judged by their greatest length, since length
 * hints are often too low. Safe for use by several threads.
 */
final class StopController implements GatewayHandler.StopPolicy {
    /** How long before the end of the grace period the process exits by itself, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /** The longest expected duration of a request that is still accepted, as a share of the time left. */
    private static final double MAX_TIME_SHARE = 0.8;

    /** How long a stopping process without requests keeps accepting connections, in milliseconds. */
    private static final long MIN_LINGER_MILLIS = 3_500;

    /** The time per token of a stream on a busy server, in milliseconds. */
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
        long remainingMillis = stoppedAtMillis + graceMillis - EXIT_MARGIN_MILLIS - request.arrivedAtMillis();
        double maxDurationMillis = request.service().engine().isPresent()
                ? request.maxTokens() * TOKEN_MILLIS + request.route().objectiveMillis()
                : request.route().objectiveMillis();
        return maxDurationMillis > remainingMillis * MAX_TIME_SHARE;
    }

    /** Returns whether the process may exit. */
    boolean isReadyToExit(int running, long nowMillis) {
        if (!isStopping()) {
            return false;
        }
        long stoppingMillis = nowMillis - stoppedAtMillis;
        return stoppingMillis >= graceMillis - EXIT_MARGIN_MILLIS
                || (running == 0 && stoppingMillis >= MIN_LINGER_MILLIS);
    }
}
