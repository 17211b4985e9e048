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
 * Merges the lagging VM list, direct signs and news of peers. A direct sign takes precedence over the list. Leaving is
 * irreversible within an incarnation. Only two nodes per region and role read the VM list regularly; the others read it
 * once at the start and then learn from peers, because a whole list of the target size exceeds a node's share of
 * control traffic. A sign that is new to a node is passed on once to a few random peers, and recent signs are repeated
 * to one random peer at a time. Not safe for use by several threads.
 */
public final class MembershipView {
    /** How often a watcher reads the list, in milliseconds; with the spread it stays within the 3 s of G5. */
    public static final long VM_LIST_PERIOD_MILLIS = 1_000;

    /** How often a node that is no watcher reads the list, to find members that it has missed, in milliseconds. */
    public static final long SLOW_VM_LIST_PERIOD_MILLIS = 120_000;

    /** How many peers receive a new sign from each node. Four reach all but about 2% of the nodes on average. */
    public static final int FANOUT = 4;

    /** Recent signs are repeated to one random peer at this interval, in milliseconds. */
    public static final long REPEAT_PERIOD_MILLIS = 250;

    private static final int WATCHERS_PER_REGION = 2;
    private static final int MAX_SIGNS_PER_MESSAGE = 32;
    private static final int MAX_SEEN_SIGNS = 1_024;
    private static final long REPEAT_FOR_MILLIS = 10_000;
    private static final long FORGET_MILLIS = 30_000;

    private final VmRecord self;
    private final long selfIncarnation;
    private final RandomGenerator random;
    private final Map<NodeId, Entry> entries = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Map<LeavingNotice, Long> seen = new LinkedHashMap<>();
    private final Map<NodeId, LeavingNotice> early = new HashMap<>();
    private List<Member> peers = List.of();
    private long nextSequence = 1;
    private long nextListMillis = Long.MIN_VALUE;
    private long nextRepeatMillis = Long.MIN_VALUE;
    private boolean isDraining;

    /**
     * Creates a view that knows only its own node.
     *
     * @param self the own node, not null
     * @param selfIncarnation the own incarnation
     * @param random the source for the choice of peers, not null
     */
    public MembershipView(VmRecord self, long selfIncarnation, RandomGenerator random) {
        this.self = Arguments.notNull(self, "self");
        this.selfIncarnation = selfIncarnation;
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Merges a VM list that was read. An empty list is no evidence that all nodes are gone.
     *
     * @param vms the lines, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> vmListRead(List<VmRecord> vms, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        Set<NodeId> present = new HashSet<>();
        for (VmRecord vm : Arguments.notNull(vms, "vms")) {
            present.add(vm.node());
            mergeLine(vm, nowMillis, actions);
        }
        if (!vms.isEmpty()) {
            forgetAbsent(present, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles a statement of a node about itself. A higher incarnation ends the leaving state of the one before.
     *
     * @param node the node with its address, not null
     * @param incarnation the incarnation
     * @param isLeaving whether the node says that it drains or leaves
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> nodeReported(VmRecord node, long incarnation, boolean isLeaving, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        Entry entry = meet(node, nowMillis, actions);
        if (incarnation < entry.member.incarnation()) {
            return actions;
        }
        entry.heardMillis = nowMillis;
        entry.isLost = false;
        moveTo(entry, node);
        boolean isNew = incarnation > entry.member.incarnation();
        boolean wasUnknown = entry.member.incarnation() == 0;
        MemberState state = entry.member.state();
        if (isNew) {
            // A sign that came before the first contact belongs to the incarnation that is met now.
            state = wasUnknown && state == MemberState.LEAVING ? state : MemberState.LIVE;
        } else if (state == MemberState.SUSPECT) {
            state = MemberState.LIVE;
        }
        change(entry, incarnation, state, actions);
        if (isLeaving && entry.member.state() != MemberState.LEAVING) {
            issue(node.node(), incarnation, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles a direct sign that a node leaves: a reclaim notice or a refusal of work because of draining.
     *
     * @param node the node, not null
     * @param incarnation the incarnation, 0 if unknown
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> leaving(NodeId node, long incarnation, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        Entry entry = entries.get(Arguments.notNull(node, "node"));
        boolean isKnown = entry != null && entry.member.state() == MemberState.LEAVING;
        boolean isOld = entry != null && incarnation > 0 && incarnation < entry.member.incarnation();
        if (!isKnown && !isOld) {
            issue(node, incarnation, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles the loss of the connection to a node. The node receives no new work until it is heard again.
     *
     * @param node the node, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> connectionLost(NodeId node, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        Entry entry = entries.get(Arguments.notNull(node, "node"));
        if (entry != null) {
            entry.isLost = true;
        }
        if (entry != null && entry.member.state() == MemberState.LIVE) {
            change(entry, entry.member.incarnation(), MemberState.SUSPECT, actions);
        }
        return actions;
    }

    /**
     * Merges news of a peer.
     *
     * @param signs the signs, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> noticesReceived(List<LeavingNotice> signs, long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        for (LeavingNotice sign : Arguments.notNull(signs, "signs")) {
            apply(sign, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Checks what is due. Called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<MembershipAction> tick(long nowMillis) {
        List<MembershipAction> actions = new ArrayList<>();
        if (nowMillis >= nextListMillis) {
            long period = isWatcher() ? VM_LIST_PERIOD_MILLIS : SLOW_VM_LIST_PERIOD_MILLIS;
            nextListMillis = nowMillis + period / 2 + random.nextLong(period / 2 + 1);
            actions.add(new MembershipAction.ReadVmList());
        }
        if (nowMillis >= nextRepeatMillis) {
            nextRepeatMillis = nowMillis + REPEAT_PERIOD_MILLIS;
            repeat(nowMillis, actions);
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
        Entry entry = entries.get(node);
        return entry == null ? Optional.empty() : Optional.of(entry.member);
    }

    /**
     * Returns the members that may receive new work, ordered by name.
     *
     * @param role the role, not null
     * @return the live members
     */
    public List<Member> liveMembers(String role) {
        List<Member> live = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.member.isUsable() && entry.member.role().equals(role)) {
                live.add(entry.member);
            }
        }
        return live;
    }

    /**
     * Returns the number of members in any state.
     *
     * @return the number, without the own node unless it is listed
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns whether this node reads the VM list for its region.
     *
     * @return whether it is among the chosen watchers
     */
    public boolean isWatcher() {
        return watchers(self.region()).contains(self.node().value());
    }

    private List<String> watchers(RegionId region) {
        List<String> names = new ArrayList<>();
        names.add(self.node().value());
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            boolean isCandidate = member.isUsable() && member.role().equals(self.role());
            if (isCandidate && member.region().equals(region) && !member.node().equals(self.node())) {
                names.add(member.node().value());
            }
        }
        return RendezvousHash.owners(names, n -> n, "vm-list/" + region, WATCHERS_PER_REGION);
    }

    private void mergeLine(VmRecord vm, long nowMillis, List<MembershipAction> actions) {
        boolean isSelf = vm.node().equals(self.node());
        Entry entry = meet(vm, nowMillis, actions);
        entry.listedMillis = nowMillis;
        String known = isSelf ? self.address() : entry.member.address();
        boolean isDirect = isSelf || (entry.member.incarnation() > 0 && !entry.isLost);
        if (isDirect && !known.equals(vm.address())) {
            // The line is about the VM that this node ran on before; the node itself has told its present address.
            return;
        }
        moveTo(entry, vm);
        if (vm.isLeaving() && entry.member.state() != MemberState.LEAVING) {
            issue(vm.node(), entry.member.incarnation(), nowMillis, actions);
        }
    }

    private void moveTo(Entry entry, VmRecord vm) {
        Member old = entry.member;
        if (!old.address().equals(vm.address())) {
            entry.member = new Member(
                    vm.node(), vm.role(), vm.address(), vm.region(), vm.zone(), old.incarnation(), old.state());
            refreshPeers();
        }
    }

    private Entry meet(VmRecord vm, long nowMillis, List<MembershipAction> actions) {
        Entry entry = entries.get(vm.node());
        if (entry == null) {
            LeavingNotice sign = early.remove(vm.node());
            MemberState state = sign == null ? MemberState.LIVE : MemberState.LEAVING;
            long incarnation = sign == null ? 0 : sign.incarnation();
            entry = new Entry(
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

    private void forgetAbsent(Set<NodeId> present, long nowMillis, List<MembershipAction> actions) {
        for (Entry entry : List.copyOf(entries.values())) {
            long lastMillis = Math.max(entry.heardMillis, entry.listedMillis);
            if (!present.contains(entry.member.node()) && nowMillis - lastMillis >= FORGET_MILLIS) {
                entries.remove(entry.member.node());
                actions.add(new MembershipAction.RemoveMember(entry.member.node()));
            }
        }
        refreshPeers();
    }

    private void issue(NodeId node, long incarnation, long nowMillis, List<MembershipAction> actions) {
        apply(new LeavingNotice(node, incarnation, self.node(), selfIncarnation, nextSequence++), nowMillis, actions);
    }

    private void apply(LeavingNotice sign, long nowMillis, List<MembershipAction> actions) {
        if (seen.containsKey(sign)) {
            return;
        }
        seen.put(sign, nowMillis);
        if (seen.size() > MAX_SEEN_SIGNS) {
            seen.remove(seen.keySet().iterator().next());
        }
        boolean isNews = sign.node().equals(self.node()) ? applyToSelf(sign, actions) : applyToMember(sign, actions);
        if (isNews) {
            passOn(sign, actions);
        }
    }

    private boolean applyToSelf(LeavingNotice sign, List<MembershipAction> actions) {
        boolean isNews = !isDraining && (sign.incarnation() == 0 || sign.incarnation() >= selfIncarnation);
        if (isNews) {
            isDraining = true;
            actions.add(new MembershipAction.DrainSelf());
        }
        return isNews;
    }

    private boolean applyToMember(LeavingNotice sign, List<MembershipAction> actions) {
        Entry entry = entries.get(sign.node());
        if (entry == null) {
            if (early.size() < MAX_SEEN_SIGNS) {
                early.put(sign.node(), sign);
            }
            return true;
        }
        boolean isOld = sign.incarnation() > 0 && sign.incarnation() < entry.member.incarnation();
        if (isOld || entry.member.state() == MemberState.LEAVING) {
            return false;
        }
        long incarnation = Math.max(entry.member.incarnation(), sign.incarnation());
        change(entry, incarnation, MemberState.LEAVING, actions);
        return true;
    }

    private void passOn(LeavingNotice sign, List<MembershipAction> actions) {
        Set<Integer> chosen = new HashSet<>();
        int count = Math.min(FANOUT, peers.size());
        while (chosen.size() < count) {
            chosen.add(random.nextInt(peers.size()));
        }
        for (int index : chosen) {
            actions.add(new MembershipAction.SendNotices(peers.get(index), List.of(sign)));
        }
    }

    private void repeat(long nowMillis, List<MembershipAction> actions) {
        if (peers.isEmpty()) {
            return;
        }
        List<LeavingNotice> recent = new ArrayList<>();
        seen.forEach((sign, millis) -> {
            if (nowMillis - millis < REPEAT_FOR_MILLIS && recent.size() < MAX_SIGNS_PER_MESSAGE) {
                recent.add(sign);
            }
        });
        if (!recent.isEmpty()) {
            actions.add(new MembershipAction.SendNotices(peers.get(random.nextInt(peers.size())), recent));
        }
    }

    private void change(Entry entry, long incarnation, MemberState state, List<MembershipAction> actions) {
        boolean wasUsable = entry.member.isUsable();
        entry.member = entry.member.with(incarnation, state);
        if (entry.member.isUsable() != wasUsable) {
            actions.add(
                    wasUsable
                            ? new MembershipAction.StopUsingMember(entry.member)
                            : new MembershipAction.UseMember(entry.member));
            refreshPeers();
        }
    }

    /** Peers are the members of the same role that are not suspect; a leaving one can still pass news on. */
    private void refreshPeers() {
        List<Member> list = new ArrayList<>();
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            boolean isOther = !member.node().equals(self.node());
            if (isOther && member.role().equals(self.role()) && member.state() != MemberState.SUSPECT) {
                list.add(member);
            }
        }
        peers = list;
    }

    private static final class Entry {
        private Member member;
        private long heardMillis;
        private long listedMillis;
        /** Whether the connection ended, so that the list may name the node's next VM, also after it was leaving. */
        private boolean isLost;

        private Entry(Member member, long nowMillis) {
            this.member = member;
            this.heardMillis = nowMillis;
            this.listedMillis = nowMillis;
        }
    }
}
