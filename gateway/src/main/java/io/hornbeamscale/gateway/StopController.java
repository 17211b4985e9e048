package io.hornbeamscale.gateway;

/**
 * Decides which requests a stopping process still accepts, when it ends the rest, and when it exits. A request is
 * accepted only if its time limit passes before the process exits: how long a server will take is unknown, and a
 * request that was accepted must get its response. Everything else is refused at once, so that its caller goes to
 * another entry. Safe for use by several threads.
 */
final class StopController {
    /** How long before the end of the grace period the process exits at the latest, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /**
     * How long before the latest exit the requests in progress get a final response, in milliseconds; covers the time
     * to write the responses.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 200;

    /** How long a stopping process without requests keeps accepting connections, in milliseconds. */
    private static final long MIN_LINGER_MILLIS = 3_500;

    /**
     * How long after the latest exit the process exits even if its traffic thread does not respond, in milliseconds.
     */
    private static final long UNRESPONSIVE_MILLIS = 300;

    private volatile long graceMillis;
    private volatile Stop stop;
    private volatile boolean isExiting;

    StopController(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /** Changes the grace period. A stop that has begun keeps its own, as the time of the kill is already set. */
    void setGrace(long millis) {
        graceMillis = millis;
    }

    /** Begins the stop; further calls have no effect. */
    void stop(long nowMillis) {
        if (stop == null) {
            stop = new Stop(nowMillis, nowMillis + graceMillis - EXIT_MARGIN_MILLIS);
        }
    }

    /** Returns whether the process was asked to stop. */
    boolean isStopping() {
        return stop != null;
    }

    /** Returns whether a request that no server has received is refused because the process may exit before its end. */
    boolean isRefused(RelayRequest request) {
        return isExiting || (isStopping() && request.deadlineMillis() > finalResponsesAtMillis());
    }

    /** Returns whether the requests in progress must be ended now. */
    boolean isFinalResponseDue(long nowMillis) {
        return isStopping() && nowMillis >= finalResponsesAtMillis();
    }

    /**
     * Returns whether the process may exit.
     *
     * @param open the number of requests whose response has not been written completely
     */
    boolean isReadyToExit(int open, long nowMillis) {
        if (!isStopping()) {
            return false;
        }
        boolean isIdle = open == 0 && nowMillis >= stop.beganAtMillis() + MIN_LINGER_MILLIS;
        return isIdle || nowMillis >= stop.exitAtMillis();
    }

    /** Refuses every further request, as the process exits now. */
    void exit() {
        isExiting = true;
    }

    /** Returns whether the process exits now, or should have done so and the traffic thread has not noticed it. */
    boolean isExitDue(long nowMillis) {
        return isExiting || (isStopping() && nowMillis >= stop.exitAtMillis() + UNRESPONSIVE_MILLIS);
    }

    private long finalResponsesAtMillis() {
        return stop.exitAtMillis() - RESPONSE_MARGIN_MILLIS;
    }

    /**
     * A stop that has begun.
     *
     * @param beganAtMillis when it began, in milliseconds
     * @param exitAtMillis when the process exits at the latest, in milliseconds
     */
    private record Stop(long beganAtMillis, long exitAtMillis) {}
}
