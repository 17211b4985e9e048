package io.hornbeamscale.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the health of backend servers from the responses to this entry (passive health checks). A server that cannot
 * be reached, or that fails several times in a row, is ejected temporarily; afterwards a single trial request tests it.
 * Active health checks are not used: they cost the server a slot, and faulty servers can pass them. Not safe for use by
 * several threads.
 */
public final class HealthTracker {
    /** The weight of one outcome in the moving averages, so that about the last ten outcomes count. */
    private static final double OUTCOME_WEIGHT = 0.1;

    /** The number of consecutive failures after which a server is ejected. */
    private static final int EJECTION_FAILURES = 3;

    /** The duration of the first ejection, in milliseconds. It doubles with every further failure. */
    private static final long FIRST_EJECTION_MILLIS = 500;

    /** The maximum duration of an ejection, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    private static final int MAX_DOUBLINGS = 3;

    private final Map<String, Health> servers = new HashMap<>();

    /**
     * Records a response of the server with any status. It ends an ejection.
     *
     * @param server the id of the server, not null
     * @param isFailure whether the response indicates a failure of the server
     * @param millis the time from sending to the response, in milliseconds
     */
    public void answered(String server, boolean isFailure, long millis) {
        Health health = of(server);
        health.failureRate += OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - health.failureRate);
        health.responseMillis = health.responseMillis < 0
                ? millis
                : health.responseMillis + OUTCOME_WEIGHT * (millis - health.responseMillis);
        health.consecutiveFailures = 0;
        health.ejectedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records a send that this entry cancelled before its response, because another server responded first. The
     * response would have taken longer than the time until then, so that the moving average can only rise. Without this
     * record, a server whose slow responses are all cancelled would keep the estimate of its fast ones. It must not be
     * used for a send that was cancelled soon: on a server that has not responded yet, the time becomes the average.
     *
     * @param server the id of the server, not null
     * @param millis the time from sending to the cancellation, in milliseconds
     */
    public void cancelled(String server, long millis) {
        Health health = of(server);
        if (health.responseMillis < 0) {
            health.responseMillis = millis;
        } else if (millis > health.responseMillis) {
            health.responseMillis += OUTCOME_WEIGHT * (millis - health.responseMillis);
        }
    }

    /**
     * Records a failed exchange: the server closed the connection, did not respond or sent an invalid response.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     */
    public void failed(String server, long nowMillis) {
        Health health = of(server);
        health.failureRate += OUTCOME_WEIGHT * (1 - health.failureRate);
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= EJECTION_FAILURES) {
            eject(health, health.consecutiveFailures - EJECTION_FAILURES, nowMillis);
        }
    }

    /**
     * Records that no connection to the server could be opened. The server is ejected at once.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     */
    public void unreachable(String server, long nowMillis) {
        Health health = of(server);
        health.consecutiveFailures++;
        eject(health, health.consecutiveFailures - 1, nowMillis);
    }

    /**
     * Returns whether requests may go to a server. After an ejection, one trial request may use the server; further
     * requests may follow when that one has ended or some time has passed.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     * @return whether the server is not ejected
     */
    public boolean isUsable(String server, long nowMillis) {
        Health health = servers.get(server);
        return health == null || nowMillis >= health.ejectedUntilMillis;
    }

    /**
     * Returns when the ejection of a server ends.
     *
     * @param server the id of the server, not null
     * @return the time, in milliseconds, {@link Long#MIN_VALUE} if the server is not ejected
     */
    public long ejectedUntilMillis(String server) {
        Health health = servers.get(server);
        return health == null ? Long.MIN_VALUE : health.ejectedUntilMillis;
    }

    /**
     * Records that a request was sent to a server.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     */
    public void sent(String server, long nowMillis) {
        Health health = servers.get(server);
        if (health != null && health.consecutiveFailures >= EJECTION_FAILURES) {
            health.ejectedUntilMillis = nowMillis + FIRST_EJECTION_MILLIS;
        }
    }

    /**
     * Returns the share of recent requests that failed.
     *
     * @param server the id of the server, not null
     * @return the share, from 0 to 1
     */
    public double failureRate(String server) {
        Health health = servers.get(server);
        return health == null ? 0 : health.failureRate;
    }

    /**
     * Returns the recent response time of a server.
     *
     * @param server the id of the server, not null
     * @param defaultMillis the value for a server that has not responded yet, in milliseconds
     * @return the moving average, in milliseconds
     */
    public double responseMillis(String server, double defaultMillis) {
        Health health = servers.get(server);
        return health == null || health.responseMillis < 0 ? defaultMillis : health.responseMillis;
    }

    /**
     * Removes all data about a server. Does nothing if the server is unknown.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        servers.remove(server);
    }

    private static void eject(Health health, int doublings, long nowMillis) {
        long millis = FIRST_EJECTION_MILLIS << Math.min(MAX_DOUBLINGS, Math.max(0, doublings));
        health.ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, millis);
    }

    private Health of(String server) {
        return servers.computeIfAbsent(server, k -> new Health());
    }

    private static final class Health {
        private double failureRate;
        private double responseMillis = -1;
        private int consecutiveFailures;
        private long ejectedUntilMillis = Long.MIN_VALUE;
    }
}
