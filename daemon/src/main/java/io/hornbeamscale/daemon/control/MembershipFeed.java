package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.membership.LeavingNotice;
import io.hornbeamscale.core.membership.Member;
import io.hornbeamscale.core.membership.MemberState;
import io.hornbeamscale.core.membership.MembershipAction;
import io.hornbeamscale.core.membership.MembershipView;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.external.VmList;
import io.hornbeamscale.wire.message.LeavingMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Feeds the membership view with the VM list and direct signs, and publishes its result. Control thread only. */
final class MembershipFeed {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final long RETRY_SUSPECT_MILLIS = 2_000;

    private final VmRecord self;
    private final long incarnation;
    private final VmList list;
    private final Executor control;
    private final LongSupplier clock;
    private final Blackboard board;
    private final Events events;
    private final MembershipView view;
    private final Deque<NodeId> suspects = new ArrayDeque<>();
    private long nextRetryMillis = Long.MIN_VALUE;
    private boolean isReading;
    private boolean isListSilent;
    private boolean isListed;

    MembershipFeed(
            VmRecord self,
            long incarnation,
            VmList list,
            Executor control,
            LongSupplier clock,
            RandomGenerator random,
            Blackboard board,
            Events events) {
        this.self = self;
        this.incarnation = incarnation;
        this.list = list;
        this.control = control;
        this.clock = clock;
        this.board = board;
        this.events = events;
        this.view = new MembershipView(self, incarnation, random);
        publish();
    }

    void tick(long nowMillis) {
        carryOut(view.tick(nowMillis));
        if (!suspects.isEmpty() && nowMillis >= nextRetryMillis) {
            nextRetryMillis = nowMillis + RETRY_SUSPECT_MILLIS;
            NodeId next = suspects.poll();
            suspects.add(next);
            view.find(next).ifPresent(events::contact);
        }
    }

    /** Handles a statement of a node about itself. */
    void heard(VmRecord node, long nodeIncarnation, boolean isLeaving) {
        carryOut(view.nodeReported(node, nodeIncarnation, isLeaving, clock.getAsLong()));
    }

    /** Handles a refusal of work because of draining. */
    void leaving(NodeId node) {
        long known = view.find(node).map(Member::incarnation).orElse(0L);
        carryOut(view.leaving(node, known, clock.getAsLong()));
    }

    /** Tells the peers that this node is leaving. */
    void leavingSelf() {
        carryOut(view.leaving(self.node(), incarnation, clock.getAsLong()));
    }

    void lost(NodeId node) {
        carryOut(view.connectionLost(node, clock.getAsLong()));
    }

    void told(LeavingMessage message) {
        carryOut(view.noticesReceived(LeavingSigns.of(message), clock.getAsLong()));
    }

    Optional<Member> find(NodeId node) {
        return view.find(node);
    }

    boolean isLeaving(NodeId node) {
        return view.find(node).filter(m -> m.state() == MemberState.LEAVING).isPresent();
    }

    /** Returns whether the VM list has answered since the start. */
    boolean isListed() {
        return isListed;
    }

    boolean isListSilent() {
        return isListSilent;
    }

    private void readList() {
        if (list == null || isReading) {
            return;
        }
        isReading = true;
        var unused = list.read()
                .exceptionally(e -> Optional.empty())
                .thenAccept(vms -> control.execute(() -> {
                    isReading = false;
                    if (vms.isEmpty() != isListSilent) {
                        isListSilent = vms.isEmpty();
                        LOG.info("The VM list {}.", isListSilent ? "does not answer" : "answers");
                    }
                    if (vms.isPresent()) {
                        carryOut(view.vmListRead(vms.get(), clock.getAsLong()));
                        isListed = true;
                        events.listed();
                    }
                }));
    }

    private void carryOut(List<MembershipAction> actions) {
        if (actions.isEmpty()) {
            return;
        }
        boolean isChanged = false;
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.ReadVmList) {
                readList();
            } else if (action instanceof MembershipAction.SendNotices a) {
                events.tell(a.peer(), LeavingSigns.of(a.notices()));
            } else if (action instanceof MembershipAction.DrainSelf) {
                LOG.info("This node is leaving.");
                events.drainSelf();
            } else {
                isChanged = true;
                change(action);
            }
        }
        if (isChanged) {
            publish();
            events.membersChanged();
        }
    }

    private void change(MembershipAction action) {
        if (action instanceof MembershipAction.UseMember a) {
            suspects.remove(a.member().node());
            LOG.info("{} {} is a live member.", a.member().role(), a.member().node());
        } else if (action instanceof MembershipAction.StopUsingMember a) {
            Member member = a.member();
            LOG.info("{} {} receives no new work: {}.", member.role(), member.node(), member.state());
            if (member.state() == MemberState.SUSPECT && member.role().equals(self.role())) {
                suspects.add(member.node());
            }
            events.stopWork(member);
        } else if (action instanceof MembershipAction.RemoveMember a) {
            suspects.remove(a.node());
            LOG.info("{} is no longer a member.", a.node());
        }
    }

    private void publish() {
        board.put(MembershipSnapshot.KEY, new MembershipSnapshot(view.liveMembers("entry"), view.liveMembers("agent")));
    }

    /** What the feed asks its owner to do. */
    interface Events {
        /** Sends signs to a peer. */
        void tell(Member peer, LeavingMessage signs);

        /** Tries to reach a member that did not answer. */
        void contact(Member member);

        /** Sends no new work to a member. */
        void stopWork(Member member);

        /** The set of live members is another one. */
        void membersChanged();

        /** The list was merged; addresses of members may be other ones. */
        void listed();

        /** Drains this process. */
        void drainSelf();
    }

    /** Translates leaving signs. */
    private static final class LeavingSigns {
        private LeavingSigns() {}

        static LeavingMessage of(List<LeavingNotice> signs) {
            return new LeavingMessage(signs.stream()
                    .map(s -> new LeavingMessage.Sign(
                            s.node().value(), s.incarnation(), s.issuer().value(), s.issuerIncarnation(), s.sequence()))
                    .toList());
        }

        static List<LeavingNotice> of(LeavingMessage message) {
            return message.signs().stream()
                    .map(s -> new LeavingNotice(
                            new NodeId(s.node()),
                            s.incarnation(),
                            new NodeId(s.issuer()),
                            s.issuerIncarnation(),
                            s.sequence()))
                    .toList();
        }
    }
}
