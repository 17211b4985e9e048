package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Divides the room of a server among the entries whose queued streams wait for it. All entries learn of new room at the
 * same time, from a registration or a status message, and none learns of the others' placements until their next status
 * arrives. Without a division, seven entries once placed eleven prompts within 40 ms on a server with room for two, and
 * their callers gave up waiting. Each entry takes a random number of places with the expected value of its share of the
 * queued demand, so that no message is needed. Not safe for use by several threads.
 */
public final class QueuedDemand {
    /**
     * How long the places taken at a server hold, in milliseconds; covers the delay of the status messages that tell
     * the other entries of them, also from another region.
     */
    static final long DRAW_INTERVAL_MILLIS = 50;

    /** How long the demand of another entry is valid, in milliseconds; longer than the interval of its status. */
    static final long PEER_DEMAND_TTL_MILLIS = 1_000;

    private final Map<String, PeerDemand> peers = new HashMap<>();
    private final Map<String, Draw> draws = new HashMap<>();

    /**
     * Records the queued demand of another entry.
     *
     * @param peer the name of the entry, not null
     * @param promptTokens the prompt tokens of its queued streams
     * @param nowMillis the present time
     */
    public void peerReported(String peer, long promptTokens, long nowMillis) {
        if (promptTokens > 0) {
            peers.put(Arguments.notNull(peer, "peer"), new PeerDemand(promptTokens, nowMillis));
        } else {
            peers.remove(peer);
        }
    }

    /**
     * Takes one place at a server if this entry's share allows it.
     *
     * @param server the id of the server, not null
     * @param ownTokens the prompt tokens of the streams queued at this entry
     * @param places the number of such streams that the server has room for, at least 1
     * @param nowMillis the present time
     * @param random decides about the fraction of a place, not null
     * @return whether the stream may be placed at the server now
     */
    public boolean tryTake(String server, long ownTokens, int places, long nowMillis, RandomGenerator random) {
        Draw draw = draws.get(server);
        if (draw == null || nowMillis - draw.atMillis >= DRAW_INTERVAL_MILLIS) {
            draw = new Draw(nowMillis, draw(ownTokens, places, nowMillis, random));
        }
        boolean isTaken = draw.places > 0;
        draws.put(server, isTaken ? new Draw(draw.atMillis, draw.places - 1) : draw);
        return isTaken;
    }

    /**
     * Removes all data about a server. Does nothing if there is none.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        draws.remove(server);
    }

    private int draw(long ownTokens, int places, long nowMillis, RandomGenerator random) {
        peers.values().removeIf(demand -> nowMillis - demand.reportedAtMillis > PEER_DEMAND_TTL_MILLIS);
        long others =
                peers.values().stream().mapToLong(demand -> demand.promptTokens).sum();
        double expected = (double) places * Math.max(1, ownTokens) / (Math.max(1, ownTokens) + others);
        int whole = (int) expected;
        return random.nextDouble() < expected - whole ? whole + 1 : whole;
    }

    private record PeerDemand(long promptTokens, long reportedAtMillis) {}

    private record Draw(long atMillis, int places) {}
}
