package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The members of the cluster, merged from the VM list, which lags, direct evidence and leaving notices of peers. Direct
 * evidence takes precedence over the list. Leaving is irreversible within an incarnation. Only two nodes per region and
 * role, the watchers, read the VM list frequently; the others read it at the start and rarely after that, and learn
 * from peers, because a complete list of the target size exceeds a node's share of control traffic. Notices spread by
 * gossip: a notice that is new to a node is forwarded once to a few random peers, and recent notices are repeated to
 * one random peer at a time. Not safe for use by several threads.
 */
public final class MembershipView {
    /**
     * The interval at which a watcher reads the VM list, in milliseconds. Together with the time for gossip, it stays
     * within the limit of 3 s.
     */
    public static final long VM_LIST_PERIOD_MILLIS = 1_000;

    /** The interval at which other nodes read the VM list, to find members that they missed, in milliseconds. */
    public static final long SLOW_VM_LIST_PERIOD_MILLIS = 120_000;

    /** The number of peers to which each node forwards a new notice. Four reach about 98% of the nodes on average. */
    public static final int FANOUT = 4;

    /** The interval at which recent notices are repeated to one random peer, in milliseconds. */
    public static final long REPEAT_PERIOD_MILLIS = 250;

    private static final int WATCHERS_PER_REGION = 2;
    private static final int MAX_NOTICES_PER_MESSAGE = 32;
    private static final int MAX_SEEN_NOTICES = 1_024;
    private static final long REPEAT_DURATION_MILLIS = 10_000;
    private static final long ABSENCE_TIMEOUT_MILLIS = 30_000;

    private final VmRecord self;
    private final long selfIncarnation;
    private final RandomGenerator random;
    private final Map<NodeId, MemberEntry> entries =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Map<LeavingNotice, Long> seenNotices = new LinkedHashMap<>();
    private final Map<NodeId, LeavingNotice> earlyNotices = new HashMap<>();
    private List<Member> peers = List.of();
    private long nextSequence = 1;
    private long nextListReadMillis = Long.MIN_VALUE;
    private long nextRepeatMillis = Long.MIN_VALUE;
    private boolean isDraining;

    /**
     * Creates a view without members.
     *
     * @param self the local node, not null
     * @param selfIncarnation the incarnation of the local node
     * @param random the source of randomness for the choice of peers and for jitter, not null
     */
    public MembershipView(VmRecord self, long selfIncarnation, RandomGenerator random) {
        this.self = Arguments.notNull(self, "self");
        this.selfIncarnation = selfIncarnation;
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Merges a VM list that was read. An empty list removes no member.
     *
     * @param vms the entries of the list, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> vmListRead(List<VmRecord> vms, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        Set<NodeId> present = new HashSet<>();
        for (VmRecord vm : Arguments.notNull(vms, "vms")) {
            present.add(vm.node());
            mergeListed(vm, nowMillis, actions);
        }
        if (!vms.isEmpty()) {
            removeAbsent(present, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles a report of a node about itself. A higher incarnation ends the leaving state of the previous one.
     *
     * @param node the node with its address, not null
     * @param incarnation the incarnation
     * @param isLeaving whether the node reports that it drains or leaves
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> nodeReported(VmRecord node, long incarnation, boolean isLeaving, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        MemberEntry entry = findOrAdd(node, nowMillis, actions);
        if (incarnation < entry.member.incarnation()) {
            return actions;
        }
        entry.lastHeardMillis = nowMillis;
        entry.isConnectionLost = false;
        updateAddress(entry, node);
        boolean isNew = incarnation > entry.member.incarnation();
        boolean wasUnknown = entry.member.incarnation() == 0;
        MemberState state = entry.member.state();
        if (isNew) {
            // A notice that arrived before the first report of the node applies to the reported incarnation.
            state = wasUnknown && state == MemberState.LEAVING ? state : MemberState.LIVE;
        } else if (state == MemberState.SUSPECT) {
            state = MemberState.LIVE;
        }
        changeState(entry, incarnation, state, actions);
        if (isLeaving && entry.member.state() != MemberState.LEAVING) {
            issueNotice(node.node(), incarnation, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles direct evidence that a node is leaving: a reclaim notice or a refusal of work because of draining.
     *
     * @param node the node, not null
     * @param incarnation the incarnation, 0 if unknown
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> leaving(NodeId node, long incarnation, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        MemberEntry entry = entries.get(Arguments.notNull(node, "node"));
        boolean isKnown = entry != null && entry.member.state() == MemberState.LEAVING;
        boolean isOld = entry != null && incarnation > 0 && incarnation < entry.member.incarnation();
        if (!isKnown && !isOld) {
            issueNotice(node, incarnation, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles the loss of the connection to a node. The node receives no new work until it reports itself again.
     *
     * @param node the node, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> connectionLost(NodeId node, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        MemberEntry entry = entries.get(Arguments.notNull(node, "node"));
        if (entry != null) {
            entry.isConnectionLost = true;
        }
        if (entry != null && entry.member.state() == MemberState.LIVE) {
            changeState(entry, entry.member.incarnation(), MemberState.SUSPECT, actions);
        }
        return actions;
    }

    /**
     * Merges leaving notices from a peer.
     *
     * @param notices the notices, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> noticesReceived(List<LeavingNotice> notices, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        for (LeavingNotice notice : Arguments.notNull(notices, "notices")) {
            applyNotice(notice, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Reads the VM list and repeats notices when due. Called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> tick(long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        if (nowMillis >= nextListReadMillis) {
            long period = isWatcher() ? VM_LIST_PERIOD_MILLIS : SLOW_VM_LIST_PERIOD_MILLIS;
            nextListReadMillis = nowMillis + period / 2 + random.nextLong(period / 2 + 1);
            actions.add(new MembershipAction.ReadVmList());
        }
        if (nowMillis >= nextRepeatMillis) {
            nextRepeatMillis = nowMillis + REPEAT_PERIOD_MILLIS;
            repeatNotices(nowMillis, actions);
        }
        return actions;
    }

    /**
     * Returns a member.
     *
     * @param node the node
     * @return the member, empty if it is unknown
     */
    public Optional<Member> find(NodeId node) {
        MemberEntry entry = entries.get(node);
        return entry == null ? Optional.empty() : Optional.of(entry.member);
    }

    /**
     * Returns the members of a role that may receive new work, ordered by name.
     *
     * @param role the role, not null
     * @return the live members, never null
     */
    public List<Member> liveMembers(String role) {
        List<Member> live = new ArrayList<>();
        for (MemberEntry entry : entries.values()) {
            if (entry.member.isUsable() && entry.member.role().equals(role)) {
                live.add(entry.member);
            }
        }
        return live;
    }

    /**
     * Returns the number of members in any state.
     *
     * @return the number, without the local node unless it is listed
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns whether this node is a watcher, which reads the VM list frequently for its region.
     *
     * @return whether this node is among the chosen watchers
     */
    public boolean isWatcher() {
        return watchers(self.region()).contains(self.node().value());
    }

    private List<String> watchers(RegionId region) {
        List<String> names = new ArrayList<>();
        names.add(self.node().value());
        for (MemberEntry entry : entries.values()) {
            Member member = entry.member;
            boolean isCandidate = member.isUsable() && member.role().equals(self.role());
            if (isCandidate && member.region().equals(region) && !member.node().equals(self.node())) {
                names.add(member.node().value());
            }
        }
        return RendezvousHash.owners(names, n -> n, "vm-list/" + region, WATCHERS_PER_REGION);
    }

    private void mergeListed(VmRecord vm, long nowMillis, List<MembershipAction> actions) {
        boolean isSelf = vm.node().equals(self.node());
        MemberEntry entry = findOrAdd(vm, nowMillis, actions);
        entry.lastListedMillis = nowMillis;
        String known = isSelf ? self.address() : entry.member.address();
        boolean isDirect = isSelf || (entry.member.incarnation() > 0 && !entry.isConnectionLost);
        if (isDirect && !known.equals(vm.address())) {
            // The listed VM is the one that the node ran on before; the node itself has reported its current address.
            return;
        }
        updateAddress(entry, vm);
        if (vm.isLeaving() && entry.member.state() != MemberState.LEAVING) {
            issueNotice(vm.node(), entry.member.incarnation(), nowMillis, actions);
        }
    }

    private void updateAddress(MemberEntry entry, VmRecord vm) {
        Member old = entry.member;
        if (!old.address().equals(vm.address())) {
            entry.member = new Member(
                    vm.node(), vm.role(), vm.address(), vm.region(), vm.zone(), old.incarnation(), old.state());
            refreshPeers();
        }
    }

    private MemberEntry findOrAdd(VmRecord vm, long nowMillis, List<MembershipAction> actions) {
        MemberEntry entry = entries.get(vm.node());
        if (entry == null) {
            LeavingNotice notice = earlyNotices.remove(vm.node());
            MemberState state = notice == null ? MemberState.LIVE : MemberState.LEAVING;
            long incarnation = notice == null ? 0 : notice.incarnation();
            entry = new MemberEntry(
                    new Member(vm.node(), vm.role(), vm.address(), vm.region(), vm.zone(), incarnation, state),
                    nowMillis);
            entries.put(vm.node(), entry);
            refreshPeers();
            if (state == MemberState.LIVE) {
                actions.add(new MembershipAction.UseMember(entry.member));
            }
        }
        return entry;
    }

    private void removeAbsent(Set<NodeId> present, long nowMillis, List<MembershipAction> actions) {
        for (MemberEntry entry : List.copyOf(entries.values())) {
            long lastMillis = Math.max(entry.lastHeardMillis, entry.lastListedMillis);
            if (!present.contains(entry.member.node()) && nowMillis - lastMillis >= ABSENCE_TIMEOUT_MILLIS) {
                entries.remove(entry.member.node());
                actions.add(new MembershipAction.RemoveMember(entry.member.node()));
            }
        }
        refreshPeers();
    }

    private void issueNotice(NodeId node, long incarnation, long nowMillis, List<MembershipAction> actions) {
        applyNotice(
                new LeavingNotice(node, incarnation, self.node(), selfIncarnation, nextSequence++), nowMillis, actions);
    }

    private void applyNotice(LeavingNotice notice, long nowMillis, List<MembershipAction> actions) {
        if (seenNotices.containsKey(notice)) {
            return;
        }
        seenNotices.put(notice, nowMillis);
        if (seenNotices.size() > MAX_SEEN_NOTICES) {
            seenNotices.remove(seenNotices.keySet().iterator().next());
        }
        boolean isNew =
                notice.node().equals(self.node()) ? applyToSelf(notice, actions) : applyToMember(notice, actions);
        if (isNew) {
            forwardToPeers(notice, actions);
        }
    }

    private boolean applyToSelf(LeavingNotice notice, List<MembershipAction> actions) {
        boolean isNew = !isDraining && (notice.incarnation() == 0 || notice.incarnation() >= selfIncarnation);
        if (isNew) {
            isDraining = true;
            actions.add(new MembershipAction.DrainSelf());
        }
        return isNew;
    }

    private boolean applyToMember(LeavingNotice notice, List<MembershipAction> actions) {
        MemberEntry entry = entries.get(notice.node());
        if (entry == null) {
            if (earlyNotices.size() < MAX_SEEN_NOTICES) {
                earlyNotices.put(notice.node(), notice);
            }
            return true;
        }
        boolean isOld = notice.incarnation() > 0 && notice.incarnation() < entry.member.incarnation();
        if (isOld || entry.member.state() == MemberState.LEAVING) {
            return false;
        }
        long incarnation = Math.max(entry.member.incarnation(), notice.incarnation());
        changeState(entry, incarnation, MemberState.LEAVING, actions);
        return true;
    }

    private void forwardToPeers(LeavingNotice notice, List<MembershipAction> actions) {
        Set<Integer> chosen = new HashSet<>();
        int count = Math.min(FANOUT, peers.size());
        while (chosen.size() < count) {
            chosen.add(random.nextInt(peers.size()));
        }
        for (int index : chosen) {
            actions.add(new MembershipAction.SendNotices(peers.get(index), List.of(notice)));
        }
    }

    private void repeatNotices(long nowMillis, List<MembershipAction> actions) {
        if (peers.isEmpty()) {
            return;
        }
        List<LeavingNotice> recent = new ArrayList<>();
        seenNotices.forEach((notice, millis) -> {
            if (nowMillis - millis < REPEAT_DURATION_MILLIS && recent.size() < MAX_NOTICES_PER_MESSAGE) {
                recent.add(notice);
            }
        });
        if (!recent.isEmpty()) {
            actions.add(new MembershipAction.SendNotices(peers.get(random.nextInt(peers.size())), recent));
        }
    }

    private void changeState(MemberEntry entry, long incarnation, MemberState state, List<MembershipAction> actions) {
        boolean wasUsable = entry.member.isUsable();
        entry.member = entry.member.withState(incarnation, state);
        if (entry.member.isUsable() != wasUsable) {
            actions.add(
                    wasUsable
                            ? new MembershipAction.StopUsingMember(entry.member)
                            : new MembershipAction.UseMember(entry.member));
            refreshPeers();
        }
    }

    /** Peers are the members of the same role that are not suspect; a leaving member can still forward notices. */
    private void refreshPeers() {
        List<Member> list = new ArrayList<>();
        for (MemberEntry entry : entries.values()) {
            Member member = entry.member;
            boolean isOther = !member.node().equals(self.node());
            if (isOther && member.role().equals(self.role()) && member.state() != MemberState.SUSPECT) {
                list.add(member);
            }
        }
        peers = list;
    }

    private static final class MemberEntry {
        private Member member;
        private long lastHeardMillis;
        private long lastListedMillis;
        /**
         * Whether the connection was lost, so that the list may contain the node's next VM, even for a leaving node.
         */
        private boolean isConnectionLost;

        private MemberEntry(Member member, long nowMillis) {
            this.member = member;
            this.lastHeardMillis = nowMillis;
            this.lastListedMillis = nowMillis;
        }
    }
}
