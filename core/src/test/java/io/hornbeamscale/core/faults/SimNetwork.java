package io.hornbeamscale.core.faults;

import java.util.HashMap;
import java.util.Map;

/**
 * Simulates connections between processes. Frames of a connection are delivered in order; they can be delayed, lost
 * with the connection, or delivered long after it was lost.
 */
final class SimNetwork {
    private static final long MAX_FRAME_AGE_MILLIS = 150_000;

    private final FaultSimulation sim;
    private final Map<String, Link> links = new HashMap<>();

    SimNetwork(FaultSimulation sim) {
        this.sim = sim;
    }

    void send(SimProcess from, SimProcess to, SimMessage message) {
        Link link = link(from, to);
        if (sim.now < link.downUntilMillis || !to.isUp || !from.isUp) {
            notifyLost(from, to);
            return;
        }
        int direction = from.name.compareTo(to.name) < 0 ? 0 : 1;
        long at = Math.max(link.lastDeliveryMillis[direction], sim.now + 1 + sim.random.nextInt(4));
        at = Math.max(at, link.stalledUntilMillis);
        link.lastDeliveryMillis[direction] = at;
        long epoch = link.epoch;
        long incarnation = to.incarnation;
        sim.at(at, () -> {
            if (link.epoch == epoch) {
                to.run(incarnation, () -> to.receive(from, message));
            } else if (link.hasLateFrames) {
                sim.statistics.count(FaultKind.OLD_FRAMES);
                sim.after(
                        1 + sim.random.nextLong(MAX_FRAME_AGE_MILLIS),
                        () -> to.run(to.incarnation, () -> to.receive(from, message)));
            }
        });
    }

    /** Breaks a connection. Frames in flight are lost, or delivered much later, even to a restarted process. */
    void breakLink(SimProcess a, SimProcess b, long downMillis, boolean hasLateFrames) {
        Link link = link(a, b);
        link.epoch++;
        link.hasLateFrames = hasLateFrames;
        link.downUntilMillis = Math.max(link.downUntilMillis, sim.now + downMillis);
        link.lastDeliveryMillis[0] = 0;
        link.lastDeliveryMillis[1] = 0;
        link.stalledUntilMillis = 0;
        notifyLost(a, b);
        notifyLost(b, a);
    }

    void stall(SimProcess a, SimProcess b, long millis) {
        Link link = link(a, b);
        link.stalledUntilMillis = Math.max(link.stalledUntilMillis, sim.now + millis);
    }

    void breakAllLinks(SimProcess node) {
        for (SimProcess peer : sim.nodes()) {
            if (peer != node) {
                breakLink(node, peer, 0, sim.random.nextInt(4) == 0);
            }
        }
    }

    /** Notifies a process of a lost connection, once for all frames that could not be sent in the meantime. */
    private void notifyLost(SimProcess node, SimProcess peer) {
        Link link = link(node, peer);
        int side = node.name.compareTo(peer.name) < 0 ? 0 : 1;
        if (link.isNotifying[side]) {
            return;
        }
        link.isNotifying[side] = true;
        long incarnation = node.incarnation;
        sim.after(1 + sim.random.nextInt(20), () -> {
            link.isNotifying[side] = false;
            node.run(incarnation, () -> node.linkLost(peer));
        });
    }

    private Link link(SimProcess a, SimProcess b) {
        String key = a.name.compareTo(b.name) < 0 ? a.name + "|" + b.name : b.name + "|" + a.name;
        return links.computeIfAbsent(key, k -> new Link());
    }

    private static final class Link {
        private long epoch;
        private long downUntilMillis;
        private long stalledUntilMillis;
        private boolean hasLateFrames;
        private final long[] lastDeliveryMillis = new long[2];
        private final boolean[] isNotifying = new boolean[2];
    }
}
