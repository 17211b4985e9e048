package io.hornbeamscale.core.eligibility;

import java.util.HashMap;
import java.util.Map;

/**
 * The pauses that servers asked this entry for. After a pause, the server gets a few requests at a time: the first one
 * after a delay that differs between the entries, the next ones at an interval. Not safe for use by several threads.
 */
final class ServerPauses {
    /** The longest pause that is kept, in milliseconds; a server that asks for more has sent a malformed value. */
    static final long MAX_PAUSE_MILLIS = 3_600_000;

    /** The time over which the first requests of the entries are spread after a pause, in milliseconds. */
    static final long SPREAD_MILLIS = 400;

    /** The time after a pause in which requests are sent at an interval, in milliseconds. */
    static final long RAMP_MILLIS = 1_000;

    /** The interval between two requests of this entry in that time, in milliseconds. */
    static final long RAMP_INTERVAL_MILLIS = 150;

    private final Map<String, Pause> pauses = new HashMap<>();

    /**
     * Records a pause. Of two pauses, the later end counts.
     *
     * @param spread where this entry is in the order in which the entries return, from 0 to 1
     * @return whether the pause is kept; one that is not positive or too long is ignored
     */
    boolean requested(String server, double pauseMillis, double spread, long nowMillis) {
        boolean isValid = pauseMillis > 0 && pauseMillis <= MAX_PAUSE_MILLIS;
        if (!isValid) {
            return false;
        }
        long until = nowMillis + (long) Math.ceil(pauseMillis);
        Pause before = pauses.get(server);
        if (before == null || before.untilMillis < until) {
            pauses.put(server, new Pause(until, until + (long) (spread * SPREAD_MILLIS)));
        }
        return true;
    }

    /**
     * Returns when the next request may be sent, 0 if the server has no pause. A request with a reservation has to wait
     * for the end of the pause only, since its place in the interval was taken before.
     */
    long nextMillis(String server, boolean isReserved, long nowMillis) {
        Pause pause = pauses.get(server);
        if (pause == null) {
            return 0;
        }
        if (nowMillis >= pause.untilMillis + RAMP_MILLIS) {
            pauses.remove(server);
            return 0;
        }
        return isReserved ? pause.untilMillis : pause.nextMillis;
    }

    /** Takes the place of one request, which is sent now or waits for the end of the pause. */
    void reserve(String server, long nowMillis) {
        pauses.computeIfPresent(
                server, (id, p) -> new Pause(p.untilMillis, Math.max(p.nextMillis, nowMillis) + RAMP_INTERVAL_MILLIS));
    }

    void forget(String server) {
        pauses.remove(server);
    }

    private record Pause(long untilMillis, long nextMillis) {}
}
