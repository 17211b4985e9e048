package io.hornbeamscale.core.faults;

import java.util.HashMap;
import java.util.Map;

/** Connections between processes: ordered within a connection, lost with it, stalled, or delivered much later. */
final class SimNetwork {
    private static final long OLD_FRAME_MILLIS = 150_000;

    private final FaultSimulation sim;
    private final Map<String, Link> links = new HashMap<>();

    SimNetwork(FaultSimulation sim) {
        this.sim = sim;
    }

    void send(SimProcess from, SimProcess to, SimMessage message) {
        Link link = link(from, to);
        if (sim.now < link.downUntil || !to.isUp || !from.isUp) {
            notifyLost(from, to);
            return;
        }
        int direction = from.name.compareTo(to.name) < 0 ? 0 : 1;
        long at = Math.max(link.lastDelivery[direction], sim.now + 1 + sim.random.nextInt(4));
        at = Math.max(at, link.stalledUntil);
        link.lastDelivery[direction] = at;
        long epoch = link.epoch;
        long incarnation = to.incarnation;
        sim.at(at, () -> {
            if (link.epoch == epoch) {
                to.run(incarnation, () -> to.receive(from, message));
            } else if (link.hasLateFrames) {
                sim.statistics.count(FaultKind.OLD_FRAMES);
                sim.after(
                        1 + sim.random.nextLong(OLD_FRAME_MILLIS),
                        () -> to.run(to.incarnation, () -> to.receive(from, message)));
            }
        });
    }

    /** Breaks a connection; the frames in flight are lost, or arrive much later at the process that then runs. */
    void breakLink(SimProcess a, SimProcess b, long downMillis, boolean isLeaking) {
        Link link = link(a, b);
        link.epoch++;
        link.hasLateFrames = isLeaking;
        link.downUntil = Math.max(link.downUntil, sim.now + downMillis);
        link.lastDelivery[0] = 0;
        link.lastDelivery[1] = 0;
        link.stalledUntil = 0;
        notifyLost(a, b);
        notifyLost(b, a);
    }

    void stall(SimProcess a, SimProcess b, long millis) {
        Link link = link(a, b);
        link.stalledUntil = Math.max(link.stalledUntil, sim.now + millis);
    }

    void breakAllLinks(SimProcess node) {
        for (SimProcess peer : sim.nodes()) {
            if (peer != node) {
                breakLink(node, peer, 0, sim.random.nextInt(4) == 0);
            }
        }
    }

    /** Tells a process once about a lost connection, however many frames could not be sent. */
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
        private long downUntil;
        private long stalledUntil;
        private boolean hasLateFrames;
        private final long[] lastDelivery = new long[2];
        private final boolean[] isNotifying = new boolean[2];
    }
}
