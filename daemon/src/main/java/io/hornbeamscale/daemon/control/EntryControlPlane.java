package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.distribute.ConfigDistributor;
import io.hornbeamscale.core.distribute.ConfigPeer;
import io.hornbeamscale.core.document.BackendSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.Member;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.ConfigDigestMessage;
import io.hornbeamscale.wire.message.ConfigRequestMessage;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.Message;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** The control plane of an entry: membership and document versions. Used on the control thread. */
public final class EntryControlPlane {
    private static final long TICK_MILLIS = 100;
    private static final long HEARD_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 5_000;
    private static final long FIND_PEERS_MILLIS = 5_000;

    private final ControlPlaneContext context;
    private final ActionHandler host;
    private final Function<String, InetSocketAddress> addresses;
    private final PeerLinks peers;
    private final MembershipFeed members;
    private final ConfigFeed config;
    private final Map<String, BackendSpec> specs = new HashMap<>();
    private final Map<BackendId, String> used = new HashMap<>();
    private final Map<NodeId, AgentHeard> agents = new HashMap<>();
    private final Map<NodeId, Long> peerVersions = new HashMap<>();
    private long nextTickMillis;
    private long nextContactMillis;
    private final long startedMillis;
    private boolean knowsPeers;
    private volatile ControlPlaneStatus status = ControlPlaneStatus.NONE;

    /**
     * Creates the control plane of an entry whose frame listener is open.
     *
     * @param context what the daemon provides, not null
     * @param addresses reads an address of the form {@code ip:port}, null for a malformed one, not null
     * @param host carries out decisions, not null
     */
    public EntryControlPlane(
            ControlPlaneContext context, Function<String, InetSocketAddress> addresses, ActionHandler host) {
        this.context = Arguments.notNull(context, "context");
        this.addresses = Arguments.notNull(addresses, "addresses");
        this.host = Arguments.notNull(host, "host");
        this.startedMillis = context.clock().getAsLong();
        VmRecord self = context.self();
        this.peers = new PeerLinks(context.frames(), context.control(), this::hello, new PeerEvents());
        this.members = new MembershipFeed(
                self,
                context.incarnation(),
                context.vmList(),
                context.control(),
                context.clock(),
                context.random(),
                context.board(),
                new MemberEvents());
        ConfigDistributor distributor = new ConfigDistributor(
                new ConfigPeer(self.node(), self.region()),
                context.storeRegion(),
                context.random(),
                context.clock().getAsLong());
        this.config = new ConfigFeed(
                distributor, context.store(), context.control(), context.clock(), this::sendConfig, this::apply);
    }

    /**
     * Returns the listener of a connection that another entry opened. Any thread may call it.
     *
     * @return a new listener, never null
     */
    public FrameListener accept() {
        return peers.accept();
    }

    /**
     * Does what is due.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        if (nowMillis < nextTickMillis) {
            return;
        }
        nextTickMillis = nowMillis + TICK_MILLIS;
        if (nowMillis >= nextContactMillis) {
            nextContactMillis = nowMillis + CONTACT_MILLIS;
            contactSettled();
        }
        members.tick(nowMillis);
        if (!knowsPeers && hasFoundPeers(nowMillis)) {
            knowsPeers = true;
            updatePeers();
        }
        config.tick(nowMillis);
        publishStatus();
    }

    /**
     * Handles a message of an agent, before the request path does.
     *
     * @param backend the backend server, not null
     * @param message the message, not null
     */
    public void received(BackendId backend, Message message) {
        NodeId node = new NodeId(backend.value());
        if (message instanceof HelloMessage hello) {
            heard(node, hello.incarnation(), false);
            host.sendToAgent(backend, digest(config.version()));
            if (members.isLeaving(node)) {
                tellAgent(node);
            }
        } else if (message instanceof BackendStatusMessage m) {
            AgentHeard before = agents.get(node);
            long now = context.clock().getAsLong();
            boolean isDue = before == null || now - before.millis() >= HEARD_MILLIS;
            if (isDue || m.isDraining() != before.isDraining() || m.incarnation() != before.incarnation()) {
                heard(node, m.incarnation(), m.isDraining());
                agents.put(node, new AgentHeard(m.incarnation(), m.isDraining(), m.configVersion(), now));
            } else if (m.configVersion() != before.version()) {
                agents.put(node, new AgentHeard(m.incarnation(), m.isDraining(), m.configVersion(), before.millis()));
            }
        } else if (message instanceof ConfigRequestMessage) {
            config.received(node, message);
        }
    }

    /**
     * Handles a refusal of work because of draining.
     *
     * @param backend the backend server, not null
     */
    public void refusedForDraining(BackendId backend) {
        members.leaving(new NodeId(backend.value()));
    }

    /**
     * Handles the loss of the connection to an agent.
     *
     * @param backend the backend server, not null
     */
    public void agentConnectionLost(BackendId backend) {
        NodeId node = new NodeId(backend.value());
        agents.remove(node);
        members.lost(node);
        moveAgents();
    }

    /**
     * Returns whether a backend server is leaving and must receive no new work.
     *
     * @param backend the backend server, not null
     * @return whether a direct sign, the VM list or a peer says so
     */
    public boolean isLeaving(BackendId backend) {
        return members.isLeaving(new NodeId(backend.value()));
    }

    /**
     * Notes the document in force and returns where its agents are: a VM that the list knows may have replaced the one
     * that the document names.
     *
     * @param document the document, not null
     * @return the addresses, without malformed ones
     */
    public Map<BackendId, InetSocketAddress> resolveAgents(Document document) {
        specs.clear();
        document.backends().forEach(spec -> specs.put(spec.name(), spec));
        used.clear();
        used.putAll(presentAddresses());
        Map<BackendId, InetSocketAddress> result = new HashMap<>();
        used.forEach((backend, text) -> {
            InetSocketAddress address = addresses.apply(text);
            if (address != null) {
                result.put(backend, address);
            }
        });
        return result;
    }

    /** Tells the peers that this entry is leaving. */
    public void announceLeaving() {
        members.leavingSelf();
    }

    /**
     * Returns the state for the status page. Any thread may call it.
     *
     * @return the state as of the last tick, never null
     */
    public ControlPlaneStatus status() {
        return status;
    }

    /** Agents learn only of versions that are in force here, which are replicated in the region. */
    private static ConfigDigestMessage digest(long version) {
        return new ConfigDigestMessage(version, 0, true, true, false);
    }

    private HelloMessage hello() {
        VmRecord self = context.self();
        return new HelloMessage(
                self.node().value(),
                self.role(),
                context.incarnation(),
                MessageCodec.PROTOCOL_VERSION,
                config == null ? 0 : config.version(),
                self.address(),
                self.region().value(),
                self.zone().value());
    }

    private void contactSettled() {
        for (InetSocketAddress address : context.peerAddresses()) {
            boolean isSelf = address.equals(addresses.apply(context.self().address()));
            boolean isKnown = context.board().get(MembershipSnapshot.KEY).stream()
                    .flatMap(snapshot -> snapshot.entries().stream())
                    .anyMatch(member -> address.equals(addresses.apply(member.address())));
            if (!isSelf && !isKnown) {
                peers.contact(address);
            }
        }
    }

    /** A node that believed to be alone too early would be the only holder of a version. */
    private boolean hasFoundPeers(long nowMillis) {
        boolean isSettled = context.vmList() == null
                && peerVersions.size() >= context.peerAddresses().size();
        return members.isListed() || isSettled || nowMillis - startedMillis >= FIND_PEERS_MILLIS;
    }

    private void updatePeers() {
        List<ConfigPeer> live = new ArrayList<>();
        List<NodeId> nodes = new ArrayList<>(List.of(context.self().node()));
        context.board()
                .get(MembershipSnapshot.KEY)
                .ifPresent(snapshot ->
                        snapshot.entries().forEach(member -> live.add(new ConfigPeer(member.node(), member.region()))));
        live.stream()
                .map(ConfigPeer::node)
                .filter(node -> !nodes.contains(node))
                .forEach(nodes::add);
        config.peers(live);
        host.entriesChanged(nodes);
    }

    private void heard(NodeId node, long incarnation, boolean isLeaving) {
        BackendSpec spec = specs.get(node.value());
        if (spec != null) {
            String address = used.getOrDefault(new BackendId(node.value()), spec.address());
            VmRecord record =
                    new VmRecord(node, "agent", address, new RegionId(spec.region()), new ZoneId(spec.zone()), false);
            members.heard(record, incarnation, isLeaving);
        }
    }

    private Map<BackendId, String> presentAddresses() {
        Map<BackendId, String> present = new HashMap<>();
        for (BackendSpec spec : specs.values()) {
            Optional<Member> member = members.find(new NodeId(spec.name()));
            present.put(new BackendId(spec.name()), member.map(Member::address).orElse(spec.address()));
        }
        return present;
    }

    private void moveAgents() {
        if (!used.equals(presentAddresses())) {
            host.agentAddressesChanged();
        }
    }

    private void apply(VersionedDocument document) {
        host.apply(document);
        for (NodeId agent : List.copyOf(agents.keySet())) {
            host.sendToAgent(new BackendId(agent.value()), digest(document.version()));
        }
    }

    /**
     * Sends a message to another entry. It is lost if the entry cannot be reached.
     *
     * @param entry the entry, not null
     * @param message the message, not null
     */
    public void sendToEntry(NodeId entry, Message message) {
        InetSocketAddress address =
                members.find(entry).map(m -> addresses.apply(m.address())).orElse(null);
        peers.send(entry, address, message);
    }

    private void sendConfig(NodeId node, Message message) {
        if (agents.containsKey(node) || specs.containsKey(node.value())) {
            host.sendToAgent(new BackendId(node.value()), message);
            return;
        }
        sendToEntry(node, message);
    }

    private void tellAgent(NodeId node) {
        Member member = members.find(node).orElseThrow();
        LeavingMessage.Sign sign = new LeavingMessage.Sign(
                node.value(), member.incarnation(), context.self().node().value(), context.incarnation(), 0);
        host.sendToAgent(new BackendId(node.value()), new LeavingMessage(List.of(sign)));
    }

    private void publishStatus() {
        Map<String, Long> agentVersions = new HashMap<>();
        agents.forEach((node, heard) -> agentVersions.put(node.value(), heard.version()));
        Map<String, Long> entryVersions = new HashMap<>();
        peerVersions.forEach((node, version) -> entryVersions.put(node.value(), version));
        String problem = config.problem();
        if (members.isListSilent()) {
            problem = problem.isEmpty() ? "the VM list does not answer" : problem + "; the VM list does not answer";
        }
        status = new ControlPlaneStatus(
                config.version(),
                config.newestKnown(),
                config.isWatcher(),
                problem,
                entryVersions,
                agentVersions,
                peers.size());
    }

    /** Carries out decisions on the control thread. */
    public interface ActionHandler {
        /**
         * Puts a version in force.
         *
         * @param document the version
         */
        void apply(VersionedDocument document);

        /** Connects again to the agents of the document in force, since some have other addresses. */
        void agentAddressesChanged();

        /**
         * Sends no new work to a backend server.
         *
         * @param backend the backend server
         */
        void stopUsingBackend(BackendId backend);

        /**
         * Sends a message to a connected agent; otherwise the message is dropped.
         *
         * @param backend the backend server
         * @param message the message
         */
        void sendToAgent(BackendId backend, Message message);

        /**
         * Handles a message of another entry that is not about membership or document versions.
         *
         * @param from the entry
         * @param message the message
         */
        void receivedFromPeer(NodeId from, Message message);

        /**
         * Takes the live entries.
         *
         * @param entries the entries with the own node
         */
        void entriesChanged(List<NodeId> entries);

        /** Drains this process, since its VM is leaving. */
        void drainSelf();
    }

    private record AgentHeard(long incarnation, boolean isDraining, long version, long millis) {}

    private final class PeerEvents implements PeerLinks.Events {
        @Override
        public void introduced(HelloMessage peer) {
            if (peer.address().isEmpty()
                    || peer.region().isEmpty()
                    || peer.zone().isEmpty()) {
                return;
            }
            NodeId node = new NodeId(peer.node());
            peerVersions.put(node, peer.configVersion());
            VmRecord record = new VmRecord(
                    node, peer.role(), peer.address(), new RegionId(peer.region()), new ZoneId(peer.zone()), false);
            members.heard(record, peer.incarnation(), false);
        }

        @Override
        public void received(NodeId from, Message message) {
            if (message instanceof LeavingMessage m) {
                members.told(m);
                return;
            }
            if (message instanceof ConfigDigestMessage m) {
                peerVersions.put(from, m.version());
            }
            config.received(from, message);
            host.receivedFromPeer(from, message);
        }

        @Override
        public void unreachable(NodeId node) {
            members.lost(node);
        }
    }

    private final class MemberEvents implements MembershipFeed.Events {
        @Override
        public void tell(Member peer, LeavingMessage signs) {
            peers.send(peer.node(), addresses.apply(peer.address()), signs);
        }

        @Override
        public void contact(Member member) {
            InetSocketAddress address = addresses.apply(member.address());
            if (address != null) {
                peers.contact(address);
            }
        }

        @Override
        public void stopWork(Member member) {
            if (member.role().equals("agent")) {
                host.stopUsingBackend(new BackendId(member.node().value()));
                if (members.isLeaving(member.node())) {
                    tellAgent(member.node());
                }
            }
        }

        @Override
        public void membersChanged() {
            if (knowsPeers) {
                updatePeers();
            }
            peerVersions.keySet().removeIf(node -> members.find(node).isEmpty());
        }

        @Override
        public void listed() {
            moveAgents();
        }

        @Override
        public void drainSelf() {
            host.drainSelf();
        }
    }
}
