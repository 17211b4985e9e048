package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.route.EngineSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks when the links over which engines copy generation state become free. It knows only the copies of this entry.
 * The copies of one server run one after the other, so a server with several pending copies is a slow target. Not safe
 * for use by several threads.
 */
public final class CopyLinkSchedule {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AT_ONE_MEGABIT = 1_000;

    /** The duration of a copy between availability zones, relative to a copy within one zone. */
    private static final double OTHER_ZONE_FACTOR = 2;

    private final Map<String, Double> freeAtMillis = new HashMap<>();

    /**
     * Returns the duration of a copy on a free link.
     *
     * @param engine the engine, not null
     * @param tokens the number of tokens whose state is copied
     * @param isSameZone whether both servers are in one availability zone
     * @return the duration, in milliseconds
     */
    public static double copyMillis(EngineSpec engine, long tokens, boolean isSameZone) {
        double bits = tokens * (double) engine.bytesPerToken() * BITS_PER_BYTE;
        double millis = bits / Math.max(1, engine.linkMegabits()) / BITS_PER_MILLI_AT_ONE_MEGABIT;
        return isSameZone ? millis : millis * OTHER_ZONE_FACTOR;
    }

    /**
     * Records the start of a copy between two servers. The copy waits until both links are free.
     *
     * @param from the id of one server, not null
     * @param to the id of the other server, not null
     * @param millis the duration of the copy, in milliseconds
     * @param nowMillis the present time
     */
    public void begin(String from, String to, double millis, long nowMillis) {
        double end = Math.max(freeAt(from, nowMillis), freeAt(to, nowMillis)) + millis;
        freeAtMillis.put(from, end);
        freeAtMillis.put(to, end);
    }

    /**
     * Returns how long a server's link remains busy.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     * @return the remaining time, in milliseconds; 0 if the link is free
     */
    public double busyMillis(String server, long nowMillis) {
        return freeAt(server, nowMillis) - nowMillis;
    }

    /**
     * Removes all data about a server. Does nothing if the server is unknown.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        freeAtMillis.remove(server);
    }

    private double freeAt(String server, long nowMillis) {
        return Math.max((double) nowMillis, freeAtMillis.getOrDefault(server, 0.0));
    }
}
