package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.membership.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Assigns roles to the nodes of each region, which are ranked by rendezvous hashing: ranks 0 and 1 are the watchers,
 * which watch the store; rank 0 is also the link sender, which sends over the paid link to other regions; ranks 0 to 3
 * are the replicas, which receive a version first.
 */
final class PeerRanking {
    static final int REPLICA_COUNT = 4;

    private static final int WATCHER_COUNT = 2;

    private final ConfigPeer self;
    private final RandomGenerator random;
    private List<NodeId> local = List.of();
    private List<NodeId> ranks = List.of();
    private Map<String, List<NodeId>> remoteRanks = Map.of();
    private Map<NodeId, ConfigPeer> known = Map.of();

    PeerRanking(ConfigPeer self, RandomGenerator random) {
        this.self = self;
        this.random = random;
        update(List.of());
    }

    /** Replaces the list of live peers. The local node belongs to its region whether or not it is listed. */
    void update(Collection<ConfigPeer> live) {
        Map<String, List<ConfigPeer>> regions = new TreeMap<>();
        Map<NodeId, ConfigPeer> peers = new LinkedHashMap<>();
        regions.computeIfAbsent(self.region().value(), r -> new ArrayList<>()).add(self);
        for (ConfigPeer peer : live) {
            if (!peer.node().equals(self.node())) {
                regions.computeIfAbsent(peer.region().value(), r -> new ArrayList<>())
                        .add(peer);
                peers.put(peer.node(), peer);
            }
        }
        known = peers;
        Map<String, List<NodeId>> remote = new TreeMap<>();
        regions.forEach((region, members) -> {
            if (!region.equals(self.region().value())) {
                remote.put(region, rank(region, members, WATCHER_COUNT));
            }
        });
        remoteRanks = remote;
        List<ConfigPeer> localPeers = regions.get(self.region().value());
        ranks = rank(self.region().value(), localPeers, REPLICA_COUNT);
        local = localPeers.stream()
                .map(ConfigPeer::node)
                .filter(n -> !n.equals(self.node()))
                .toList();
    }

    private static List<NodeId> rank(String region, List<ConfigPeer> members, int count) {
        return RendezvousHash.owners(members, p -> p.node().value(), "config/" + region, count).stream()
                .map(ConfigPeer::node)
                .toList();
    }

    boolean isWatcher() {
        int rank = ranks.indexOf(self.node());
        return rank >= 0 && rank < WATCHER_COUNT;
    }

    boolean isReplica() {
        return ranks.contains(self.node());
    }

    boolean isLinkSender() {
        return ranks.get(0).equals(self.node());
    }

    boolean isKnown(NodeId node) {
        return known.containsKey(node);
    }

    boolean isRemote(NodeId node) {
        ConfigPeer peer = known.get(node);
        return peer != null && !peer.region().equals(self.region());
    }

    /** Returns the replicas of the local region, without the local node. */
    List<NodeId> replicas() {
        return ranks.stream().filter(n -> !n.equals(self.node())).toList();
    }

    /** Returns the watchers of the other regions, which receive versions from the link sender of the local region. */
    List<NodeId> remoteWatchers() {
        List<NodeId> nodes = new ArrayList<>();
        remoteRanks.values().forEach(nodes::addAll);
        return nodes;
    }

    /** Returns up to {@code count} distinct random peers of the local region. */
    List<NodeId> randomLocal(int count) {
        if (local.size() <= count) {
            return local;
        }
        List<NodeId> chosen = new ArrayList<>();
        while (chosen.size() < count) {
            NodeId candidate = local.get(random.nextInt(local.size()));
            if (!chosen.contains(candidate)) {
                chosen.add(candidate);
            }
        }
        return chosen;
    }
}
