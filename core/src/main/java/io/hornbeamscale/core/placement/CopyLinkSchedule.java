package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.route.EngineSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * When the links over which engines copy state will be free, as far as this entry's own copies tell. Copies of one
 * server run one after the other, so a server that just got several of them is a slow target. Not safe for use by
 * several threads.
 */
public final class CopyLinkSchedule {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AT_ONE_MEGABIT = 1_000;

    /** How much longer a copy between availability zones takes. */
    private static final double OTHER_ZONE_FACTOR = 2;

    private final Map<String, Double> freeAtMillis = new HashMap<>();

    /**
     * Returns how long a copy takes on a free link.
     *
     * @param engine the engine, not null
     * @param tokens the tokens whose state is copied
     * @param isSameZone whether both servers are in one availability zone
     * @return the time, in milliseconds
     */
    public static double copyMillis(EngineSpec engine, long tokens, boolean isSameZone) {
        double bits = tokens * (double) engine.bytesPerToken() * BITS_PER_BYTE;
        double millis = bits / Math.max(1, engine.linkMegabits()) / BITS_PER_MILLI_AT_ONE_MEGABIT;
        return isSameZone ? millis : millis * OTHER_ZONE_FACTOR;
    }

    /**
     * Notes that a copy begins between two servers.
     *
     * @param from the id of one server, not null
     * @param to the id of the other server, not null
     * @param millis how long the copy takes, in milliseconds
     * @param nowMillis the present time
     */
    public void begin(String from, String to, double millis, long nowMillis) {
        double end = Math.max(freeAt(from, nowMillis), freeAt(to, nowMillis)) + millis;
        freeAtMillis.put(from, end);
        freeAtMillis.put(to, end);
    }

    /**
     * Returns how long a server's link is still busy.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     * @return the time, in milliseconds, 0 if the link is free
     */
    public double busyMillis(String server, long nowMillis) {
        return freeAt(server, nowMillis) - nowMillis;
    }

    /**
     * Forgets a server.
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
