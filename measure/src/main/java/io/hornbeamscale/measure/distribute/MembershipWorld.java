package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.LeavingNotice;
import io.hornbeamscale.core.membership.MembershipAction;
import io.hornbeamscale.core.membership.MembershipView;
import io.hornbeamscale.core.membership.VmRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Measures how long it takes until no node uses a leaving backend server, and how many messages that takes. */
final class MembershipWorld {
    private static final long TICK_MILLIS = 50;
    private static final int LOSS_PER_MILLE = 10;
    private static final int MESSAGE_BYTES = 40;
    private static final int SIGN_BYTES = 48;
    private static final int LINE_BYTES = 120;
    private static final int UNCHANGED_BYTES = 150;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long LIMIT_MILLIS = 10_000;
    private static final NodeId AGENT = new NodeId("runner-1");

    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final List<MembershipView> views = new ArrayList<>();
    private final List<VmRecord> vms = new ArrayList<>();
    private final Map<NodeId, MembershipView> byId = new HashMap<>();
    private final Map<MembershipView, Integer> knownLists = new HashMap<>();
    private int listVersion = 1;
    private long messages;
    private long bytes;
    private long listReads;

    private MembershipWorld(long seed, int size) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            vms.add(vm("n" + i, "entry", i % 4 < 2 ? "r0" : "r" + (i % 4 - 1), false));
        }
        vms.add(vm(AGENT.value(), "agent", "r0", false));
        for (int i = 0; i < size; i++) {
            MembershipView view = new MembershipView(vms.get(i), 1, new Random(seed * 1_000 + i));
            views.add(view);
            byId.put(vms.get(i).node(), view);
            queue.after(random.nextInt((int) TICK_MILLIS), () -> tick(view));
        }
    }

    /**
     * Runs one measurement.
     *
     * @param isListed whether the sign comes from the VM list, or else from a refusal that one node sees
     */
    static Result run(long seed, int size, boolean isListed) {
        MembershipWorld world = new MembershipWorld(seed, size);
        world.queue.runUntil(WARM_UP_MILLIS);
        long messagesBefore = world.messages;
        long bytesBefore = world.bytes;
        long readsBefore = world.listReads;
        long millis = world.leave(isListed);
        world.queue.runUntil(WARM_UP_MILLIS + LIMIT_MILLIS);
        return new Result(
                size,
                millis,
                (world.messages - messagesBefore) / (double) size,
                (world.bytes - bytesBefore) * 1_000.0 / LIMIT_MILLIS / size,
                (world.listReads - readsBefore) * 1_000.0 / LIMIT_MILLIS,
                world.views.get(0).size());
    }

    private long leave(boolean isListed) {
        if (isListed) {
            vms.set(vms.size() - 1, vm(AGENT.value(), "agent", "r0", true));
            listVersion++;
        } else {
            MembershipView view = views.get(random.nextInt(views.size()));
            run(view, view.leaving(AGENT, 0, queue.now()));
        }
        while (queue.now() < WARM_UP_MILLIS + LIMIT_MILLIS) {
            if (views.stream().noneMatch(MembershipWorld::usesAgent)) {
                return queue.now() - WARM_UP_MILLIS;
            }
            queue.runUntil(queue.now() + 10);
        }
        return LIMIT_MILLIS;
    }

    private static boolean usesAgent(MembershipView view) {
        return view.find(AGENT).map(m -> m.isUsable()).orElse(false);
    }

    private void tick(MembershipView view) {
        run(view, view.tick(queue.now()));
        queue.after(TICK_MILLIS, () -> tick(view));
    }

    private void run(MembershipView view, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.SendNotices tell) {
                send(byId.get(tell.peer().node()), tell.notices());
            } else if (action instanceof MembershipAction.ReadVmList) {
                listReads++;
                bytes += listBytes(view);
                List<VmRecord> lines = List.copyOf(vms);
                queue.after(5 + random.nextInt(40), () -> run(view, view.vmListRead(lines, queue.now())));
            }
        }
    }

    /** A read with the entity tag of the present list transfers no lines. */
    private long listBytes(MembershipView view) {
        Integer known = knownLists.put(view, listVersion);
        boolean isUnchanged = known != null && known == listVersion;
        return isUnchanged ? UNCHANGED_BYTES : UNCHANGED_BYTES + (long) LINE_BYTES * vms.size();
    }

    private void send(MembershipView target, List<LeavingNotice> signs) {
        messages++;
        bytes += MESSAGE_BYTES + (long) SIGN_BYTES * signs.size();
        if (random.nextInt(1_000) >= LOSS_PER_MILLE) {
            queue.after(1 + random.nextInt(40), () -> run(target, target.noticesReceived(signs, queue.now())));
        }
    }

    private static VmRecord vm(String name, String role, String region, boolean isLeaving) {
        return new VmRecord(
                new NodeId(name), role, "10.0.0.1:1", new RegionId(region), new ZoneId(region + "-a"), isLeaving);
    }

    record Result(
            int size,
            long millis,
            double messagesPerNode,
            double bytesPerNodeSecond,
            double listReadsPerSecond,
            int members) {}
}
