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

/** The control plane of an entry: membership and document versions. Used on the control thread unless noted. */
public final class EntryControlPlane {
    private static final long TICK_INTERVAL_MILLIS = 100;
    /** How often an agent without changes is reported to the membership. */
    private static final long AGENT_REPORT_INTERVAL_MILLIS = 5_000;

    private static final long CONNECT_INTERVAL_MILLIS = 5_000;
    private static final long PEER_DISCOVERY_TIMEOUT_MILLIS = 5_000;

    private final ControlPlaneContext context;
    private final ActionHandler actionHandler;
    private final Function<String, InetSocketAddress> addresses;
    private final EntryConnections connections;
    private final MembershipDriver members;
    private final ConfigDistributionDriver config;
    private final Map<String, BackendSpec> backendSpecs = new HashMap<>();
    private final Map<BackendId, String> agentAddresses = new HashMap<>();
    private final Map<NodeId, ReportedAgentState> agentStates = new HashMap<>();
    private final Map<NodeId, Long> peerVersions = new HashMap<>();
    private long nextTickMillis;
    private long nextConnectMillis;
    private final long startedMillis;
    private boolean isPeerDiscoveryDone;
    private volatile ControlPlaneStatus status = ControlPlaneStatus.NONE;

    /**
     * Creates the control plane of an entry whose frame listener is open.
     *
     * @param context what the daemon provides, not null
     * @param addresses reads an address of the form {@code ip:port}, null for a malformed one, not null
     * @param actionHandler carries out decisions, not null
     */
    public EntryControlPlane(
            ControlPlaneContext context, Function<String, InetSocketAddress> addresses, ActionHandler actionHandler) {
        this.context = Arguments.notNull(context, "context");
        this.addresses = Arguments.notNull(addresses, "addresses");
        this.actionHandler = Arguments.notNull(actionHandler, "actionHandler");
        this.startedMillis = context.clock().getAsLong();
        VmRecord self = context.self();
        this.connections =
                new EntryConnections(context.frames(), context.control(), this::hello, new EntryPeerEventHandler());
        this.members = new MembershipDriver(
                self,
                context.incarnation(),
                context.vmList(),
                context.control(),
                context.clock(),
                context.random(),
                context.board(),
                new EntryMembershipActionHandler());
        ConfigDistributor distributor = new ConfigDistributor(
                new ConfigPeer(self.node(), self.region()),
                context.storeRegion(),
                context.random(),
                context.clock().getAsLong());
        this.config = new ConfigDistributionDriver(
                distributor, context.store(), context.control(), context.clock(), this::sendConfig, this::apply);
    }

    /**
     * Returns the listener of a connection that another entry opened. Any thread may call it.
     *
     * @return a new listener, never null
     */
    public FrameListener accept() {
        return connections.accept();
    }

    /**
     * Runs the periodic work that is due.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void tick(long nowMillis) {
        if (nowMillis < nextTickMillis) {
            return;
        }
        nextTickMillis = nowMillis + TICK_INTERVAL_MILLIS;
        if (nowMillis >= nextConnectMillis) {
            nextConnectMillis = nowMillis + CONNECT_INTERVAL_MILLIS;
            connectConfiguredPeers();
        }
        members.tick(nowMillis);
        if (!isPeerDiscoveryDone && hasDiscoveredPeers(nowMillis)) {
            isPeerDiscoveryDone = true;
            updatePeers();
        }
        config.tick(nowMillis);
        publishStatus();
    }

    /**
     * Handles a message from an agent. Must be called before the request path handles the same message.
     *
     * @param backend the backend server, not null
     * @param message the message, not null
     */
    public void received(BackendId backend, Message message) {
        NodeId node = new NodeId(backend.value());
        if (message instanceof HelloMessage hello) {
            agentReported(node, hello.incarnation(), false);
            actionHandler.sendToAgent(backend, digest(config.version()));
            if (members.isLeaving(node)) {
                sendLeavingNotice(node);
            }
        } else if (message instanceof BackendStatusMessage m) {
            ReportedAgentState previous = agentStates.get(node);
            long now = context.clock().getAsLong();
            boolean isDue = previous == null || now - previous.reportedMillis() >= AGENT_REPORT_INTERVAL_MILLIS;
            if (isDue || m.isDraining() != previous.isDraining() || m.incarnation() != previous.incarnation()) {
                agentReported(node, m.incarnation(), m.isDraining());
                agentStates.put(node, new ReportedAgentState(m.incarnation(), m.isDraining(), m.configVersion(), now));
            } else if (m.configVersion() != previous.configVersion()) {
                agentStates.put(
                        node,
                        new ReportedAgentState(
                                m.incarnation(), m.isDraining(), m.configVersion(), previous.reportedMillis()));
            }
        } else if (message instanceof ConfigRequestMessage) {
            config.received(node, message);
        }
    }

    /**
     * Handles the refusal of work by a backend server that drains.
     *
     * @param backend the backend server, not null
     */
    public void refusedForDraining(BackendId backend) {
        members.leavingObserved(new NodeId(backend.value()));
    }

    /**
     * Handles the loss of the connection to an agent.
     *
     * @param backend the backend server, not null
     */
    public void agentConnectionLost(BackendId backend) {
        NodeId node = new NodeId(backend.value());
        agentStates.remove(node);
        members.connectionLost(node);
        reportAddressChanges();
    }

    /**
     * Returns whether a backend server is leaving and must receive no new work.
     *
     * @param backend the backend server, not null
     * @return whether the backend server itself, the VM list or a peer has reported it
     */
    public boolean isLeaving(BackendId backend) {
        return members.isLeaving(new NodeId(backend.value()));
    }

    /**
     * Remembers the backend servers of the document in force and returns the addresses of their agents. The address of
     * a known member takes precedence over the one in the document, since another VM may have replaced the one that
     * the document names.
     *
     * @param document the document, not null
     * @return the address of each backend server's agent; backend servers with a malformed address are missing
     */
    public Map<BackendId, InetSocketAddress> resolveAgents(Document document) {
        backendSpecs.clear();
        document.backends().forEach(spec -> backendSpecs.put(spec.name(), spec));
        agentAddresses.clear();
        agentAddresses.putAll(currentAgentAddresses());
        Map<BackendId, InetSocketAddress> result = new HashMap<>();
        agentAddresses.forEach((backend, text) -> {
            InetSocketAddress address = addresses.apply(text);
            if (address != null) {
                result.put(backend, address);
            }
        });
        return result;
    }

    /** Tells the peers that this entry is leaving. */
    public void announceLeaving() {
        members.announceLeaving();
    }

    /**
     * Returns the state for the status page. Any thread may call it.
     *
     * @return the state as of the last tick, never null
     */
    public ControlPlaneStatus status() {
        return status;
    }

    /** Returns the digest for agents. They learn only of versions in force here, which are replicated in the region. */
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

    private void connectConfiguredPeers() {
        for (InetSocketAddress address : context.peerAddresses()) {
            boolean isSelf = address.equals(addresses.apply(context.self().address()));
            boolean isKnown = context.board().get(MembershipSnapshot.KEY).stream()
                    .flatMap(snapshot -> snapshot.entries().stream())
                    .anyMatch(member -> address.equals(addresses.apply(member.address())));
            if (!isSelf && !isKnown) {
                connections.connect(address);
            }
        }
    }

    /**
     * Returns whether the peers are known, or enough time has passed. A node that wrongly concluded that it has no
     * peers would be the only holder of a version.
     */
    private boolean hasDiscoveredPeers(long nowMillis) {
        boolean hasHeardConfiguredPeers = context.vmList() == null
                && peerVersions.size() >= context.peerAddresses().size();
        return members.hasReadVmList()
                || hasHeardConfiguredPeers
                || nowMillis - startedMillis >= PEER_DISCOVERY_TIMEOUT_MILLIS;
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
        config.updatePeers(live);
        actionHandler.entriesChanged(nodes);
    }

    private void agentReported(NodeId node, long incarnation, boolean isLeaving) {
        BackendSpec spec = backendSpecs.get(node.value());
        if (spec != null) {
            String address = agentAddresses.getOrDefault(new BackendId(node.value()), spec.address());
            VmRecord record =
                    new VmRecord(node, "agent", address, new RegionId(spec.region()), new ZoneId(spec.zone()), false);
            members.nodeReported(record, incarnation, isLeaving);
        }
    }

    private Map<BackendId, String> currentAgentAddresses() {
        Map<BackendId, String> current = new HashMap<>();
        for (BackendSpec spec : backendSpecs.values()) {
            Optional<Member> member = members.find(new NodeId(spec.name()));
            current.put(new BackendId(spec.name()), member.map(Member::address).orElse(spec.address()));
        }
        return current;
    }

    private void reportAddressChanges() {
        if (!agentAddresses.equals(currentAgentAddresses())) {
            actionHandler.agentAddressesChanged();
        }
    }

    private void apply(VersionedDocument document) {
        actionHandler.apply(document);
        for (NodeId agent : List.copyOf(agentStates.keySet())) {
            actionHandler.sendToAgent(new BackendId(agent.value()), digest(document.version()));
        }
    }

    /**
     * Sends a message to another entry. The message is lost if the entry cannot be reached.
     *
     * @param entry the entry, not null
     * @param message the message, not null
     */
    public void sendToEntry(NodeId entry, Message message) {
        InetSocketAddress address =
                members.find(entry).map(m -> addresses.apply(m.address())).orElse(null);
        connections.send(entry, address, message);
    }

    private void sendConfig(NodeId node, Message message) {
        if (agentStates.containsKey(node) || backendSpecs.containsKey(node.value())) {
            actionHandler.sendToAgent(new BackendId(node.value()), message);
            return;
        }
        sendToEntry(node, message);
    }

    private void sendLeavingNotice(NodeId node) {
        Member member = members.find(node).orElseThrow();
        LeavingMessage.Sign notice = new LeavingMessage.Sign(
                node.value(), member.incarnation(), context.self().node().value(), context.incarnation(), 0);
        actionHandler.sendToAgent(new BackendId(node.value()), new LeavingMessage(List.of(notice)));
    }

    private void publishStatus() {
        Map<String, Long> agentVersions = new HashMap<>();
        agentStates.forEach((node, state) -> agentVersions.put(node.value(), state.configVersion()));
        Map<String, Long> entryVersions = new HashMap<>();
        peerVersions.forEach((node, version) -> entryVersions.put(node.value(), version));
        String problem = config.problem();
        if (members.isVmListUnavailable()) {
            problem = problem.isEmpty() ? "the VM list does not answer" : problem + "; the VM list does not answer";
        }
        status = new ControlPlaneStatus(
                config.version(),
                config.newestKnown(),
                config.isWatcher(),
                problem,
                entryVersions,
                agentVersions,
                connections.size());
    }

    /** Carries out the decisions of the control plane, on the control thread. */
    public interface ActionHandler {
        /**
         * Applies a version of the document.
         *
         * @param document the version
         */
        void apply(VersionedDocument document);

        /** Reconnects to the agents of the document in force, since the addresses of some have changed. */
        void agentAddressesChanged();

        /**
         * Stops sending new work to a backend server.
         *
         * @param backend the backend server
         */
        void stopUsingBackend(BackendId backend);

        /**
         * Sends a message to an agent; the message is dropped if the agent is not connected.
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
         * Handles a change of the set of live entries.
         *
         * @param entries the live entries, including this node
         */
        void entriesChanged(List<NodeId> entries);

        /** Drains this process, since its VM is leaving. */
        void drainSelf();
    }

    /**
     * What an agent reported last.
     *
     * @param incarnation the incarnation of the process
     * @param isDraining whether the agent drains
     * @param configVersion the version of the document in force at the agent, 0 for none
     * @param reportedMillis when the membership was last told of the agent, in milliseconds of the monotonic clock
     */
    private record ReportedAgentState(long incarnation, boolean isDraining, long configVersion, long reportedMillis) {}

    private final class EntryPeerEventHandler implements EntryConnections.PeerEventHandler {
        @Override
        public void helloReceived(HelloMessage peer) {
            if (peer.address().isEmpty()
                    || peer.region().isEmpty()
                    || peer.zone().isEmpty()) {
                return;
            }
            NodeId node = new NodeId(peer.node());
            peerVersions.put(node, peer.configVersion());
            VmRecord record = new VmRecord(
                    node, peer.role(), peer.address(), new RegionId(peer.region()), new ZoneId(peer.zone()), false);
            members.nodeReported(record, peer.incarnation(), false);
        }

        @Override
        public void messageReceived(NodeId from, Message message) {
            if (message instanceof LeavingMessage m) {
                members.noticesReceived(m);
                return;
            }
            if (message instanceof ConfigDigestMessage m) {
                peerVersions.put(from, m.version());
            }
            config.received(from, message);
            actionHandler.receivedFromPeer(from, message);
        }

        @Override
        public void unreachable(NodeId node) {
            members.connectionLost(node);
        }
    }

    private final class EntryMembershipActionHandler implements MembershipDriver.MembershipActionHandler {
        @Override
        public void sendNotices(Member peer, LeavingMessage notices) {
            connections.send(peer.node(), addresses.apply(peer.address()), notices);
        }

        @Override
        public void probe(Member member) {
            InetSocketAddress address = addresses.apply(member.address());
            if (address != null) {
                connections.connect(address);
            }
        }

        @Override
        public void stopUsing(Member member) {
            if (member.role().equals("agent")) {
                actionHandler.stopUsingBackend(new BackendId(member.node().value()));
                if (members.isLeaving(member.node())) {
                    sendLeavingNotice(member.node());
                }
            }
        }

        @Override
        public void membersChanged() {
            if (isPeerDiscoveryDone) {
                updatePeers();
            }
            peerVersions.keySet().removeIf(node -> members.find(node).isEmpty());
        }

        @Override
        public void vmListMerged() {
            reportAddressChanges();
        }

        @Override
        public void drainSelf() {
            actionHandler.drainSelf();
        }
    }
}
