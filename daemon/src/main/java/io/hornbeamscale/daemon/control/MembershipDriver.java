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

/**
 * Drives the membership view with the VM list, leaving notices and reports of nodes, carries out its actions, and
 * publishes the live members on the blackboard. Used on the control thread.
 */
final class MembershipDriver {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final long SUSPECT_PROBE_INTERVAL_MILLIS = 2_000;

    private final VmRecord self;
    private final long incarnation;
    private final VmList vmList;
    private final Executor control;
    private final LongSupplier clock;
    private final Blackboard board;
    private final MembershipActionHandler actionHandler;
    private final MembershipView view;
    private final Deque<NodeId> suspects = new ArrayDeque<>();
    private long nextProbeMillis = Long.MIN_VALUE;
    private boolean isReadingVmList;
    private boolean isVmListUnavailable;
    private boolean hasReadVmList;

    MembershipDriver(
            VmRecord self,
            long incarnation,
            VmList vmList,
            Executor control,
            LongSupplier clock,
            RandomGenerator random,
            Blackboard board,
            MembershipActionHandler actionHandler) {
        this.self = self;
        this.incarnation = incarnation;
        this.vmList = vmList;
        this.control = control;
        this.clock = clock;
        this.board = board;
        this.actionHandler = actionHandler;
        this.view = new MembershipView(self, incarnation, random);
        publish();
    }

    void tick(long nowMillis) {
        carryOut(view.tick(nowMillis));
        if (!suspects.isEmpty() && nowMillis >= nextProbeMillis) {
            nextProbeMillis = nowMillis + SUSPECT_PROBE_INTERVAL_MILLIS;
            NodeId next = suspects.poll();
            suspects.add(next);
            view.find(next).ifPresent(actionHandler::probe);
        }
    }

    /** Handles what a node reports about itself. */
    void nodeReported(VmRecord node, long nodeIncarnation, boolean isLeaving) {
        carryOut(view.nodeReported(node, nodeIncarnation, isLeaving, clock.getAsLong()));
    }

    /** Handles the refusal of work by a node that drains, which shows that the node is leaving. */
    void leavingObserved(NodeId node) {
        long nodeIncarnation = view.find(node).map(Member::incarnation).orElse(0L);
        carryOut(view.leaving(node, nodeIncarnation, clock.getAsLong()));
    }

    /** Tells the peers that this node is leaving. */
    void announceLeaving() {
        carryOut(view.leaving(self.node(), incarnation, clock.getAsLong()));
    }

    void connectionLost(NodeId node) {
        carryOut(view.connectionLost(node, clock.getAsLong()));
    }

    void noticesReceived(LeavingMessage message) {
        carryOut(view.noticesReceived(LeavingNoticeCodec.decode(message), clock.getAsLong()));
    }

    Optional<Member> find(NodeId node) {
        return view.find(node);
    }

    boolean isLeaving(NodeId node) {
        return view.find(node).filter(m -> m.state() == MemberState.LEAVING).isPresent();
    }

    /** Returns whether the VM list has answered since the start. */
    boolean hasReadVmList() {
        return hasReadVmList;
    }

    boolean isVmListUnavailable() {
        return isVmListUnavailable;
    }

    private void readVmList() {
        if (vmList == null || isReadingVmList) {
            return;
        }
        isReadingVmList = true;
        var unused = vmList.read()
                .exceptionally(e -> Optional.empty())
                .thenAccept(vms -> control.execute(() -> {
                    isReadingVmList = false;
                    if (vms.isEmpty() != isVmListUnavailable) {
                        isVmListUnavailable = vms.isEmpty();
                        LOG.info("The VM list {}.", isVmListUnavailable ? "does not answer" : "answers");
                    }
                    if (vms.isPresent()) {
                        carryOut(view.vmListRead(vms.get(), clock.getAsLong()));
                        hasReadVmList = true;
                        actionHandler.vmListMerged();
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
                readVmList();
            } else if (action instanceof MembershipAction.SendNotices a) {
                actionHandler.sendNotices(a.peer(), LeavingNoticeCodec.encode(a.notices()));
            } else if (action instanceof MembershipAction.DrainSelf) {
                LOG.info("This node is leaving.");
                actionHandler.drainSelf();
            } else {
                isChanged = true;
                applyChange(action);
            }
        }
        if (isChanged) {
            publish();
            actionHandler.membersChanged();
        }
    }

    private void applyChange(MembershipAction action) {
        if (action instanceof MembershipAction.UseMember a) {
            suspects.remove(a.member().node());
            LOG.info("{} {} is a live member.", a.member().role(), a.member().node());
        } else if (action instanceof MembershipAction.StopUsingMember a) {
            Member member = a.member();
            LOG.info("{} {} receives no new work: {}.", member.role(), member.node(), member.state());
            if (member.state() == MemberState.SUSPECT && member.role().equals(self.role())) {
                suspects.add(member.node());
            }
            actionHandler.stopUsing(member);
        } else if (action instanceof MembershipAction.RemoveMember a) {
            suspects.remove(a.node());
            LOG.info("{} is no longer a member.", a.node());
        }
    }

    private void publish() {
        board.put(MembershipSnapshot.KEY, new MembershipSnapshot(view.liveMembers("entry"), view.liveMembers("agent")));
    }

    /** Carries out the actions of the membership view and is told of changes. */
    interface MembershipActionHandler {
        /** Sends leaving notices to a peer. */
        void sendNotices(Member peer, LeavingMessage notices);

        /** Tries to connect to a member that is suspected to have failed. */
        void probe(Member member);

        /** Sends no new work to a member. */
        void stopUsing(Member member);

        /** Handles a change of the set of live members. */
        void membersChanged();

        /** Handles a VM list that was merged into the view, after which members may have other addresses. */
        void vmListMerged();

        /** Drains this process. */
        void drainSelf();
    }

    /** Converts leaving notices between the core and the wire. */
    private static final class LeavingNoticeCodec {
        private LeavingNoticeCodec() {}

        static LeavingMessage encode(List<LeavingNotice> notices) {
            return new LeavingMessage(notices.stream()
                    .map(n -> new LeavingMessage.Sign(
                            n.node().value(), n.incarnation(), n.issuer().value(), n.issuerIncarnation(), n.sequence()))
                    .toList());
        }

        static List<LeavingNotice> decode(LeavingMessage message) {
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
