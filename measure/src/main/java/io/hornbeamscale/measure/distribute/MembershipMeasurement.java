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

/** Measures the time until no node uses a leaving backend server, and the messages that this takes. */
final class MembershipMeasurement {
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final int LOSS_PER_MILLE = 10;
    private static final int MESSAGE_BYTES = 40;
    private static final int NOTICE_BYTES = 48;
    private static final int VM_LIST_ENTRY_BYTES = 120;
    private static final int UNCHANGED_LIST_BYTES = 150;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASUREMENT_MILLIS = 10_000;
    private static final NodeId AGENT = new NodeId("runner-1");

    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final List<MembershipView> views = new ArrayList<>();
    private final List<VmRecord> vms = new ArrayList<>();
    private final Map<NodeId, MembershipView> byId = new HashMap<>();
    private final Map<MembershipView, Integer> knownListVersions = new HashMap<>();
    private int listVersion = 1;
    private long messages;
    private long bytes;
    private long listReads;

    private MembershipMeasurement(long seed, int size) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            vms.add(vm("n" + i, "entry", i % 4 < 2 ? "r0" : "r" + (i % 4 - 1), false));
        }
        vms.add(vm(AGENT.value(), "agent", "r0", false));
        for (int i = 0; i < size; i++) {
            MembershipView view = new MembershipView(vms.get(i), 1, new Random(seed * 1_000 + i));
            views.add(view);
            byId.put(vms.get(i).node(), view);
            queue.after(random.nextInt((int) TICK_INTERVAL_MILLIS), () -> tick(view));
        }
    }

    /**
     * Runs one measurement.
     *
     * @param isListed whether the VM list reports the leaving server, or else a refusal that one node receives
     */
    static Result run(long seed, int size, boolean isListed) {
        MembershipMeasurement measurement = new MembershipMeasurement(seed, size);
        measurement.queue.runUntil(WARM_UP_MILLIS);
        long messagesBefore = measurement.messages;
        long bytesBefore = measurement.bytes;
        long readsBefore = measurement.listReads;
        long millis = measurement.measureLeaving(isListed);
        measurement.queue.runUntil(WARM_UP_MILLIS + MEASUREMENT_MILLIS);
        return new Result(
                size,
                millis,
                (measurement.messages - messagesBefore) / (double) size,
                (measurement.bytes - bytesBefore) * 1_000.0 / MEASUREMENT_MILLIS / size,
                (measurement.listReads - readsBefore) * 1_000.0 / MEASUREMENT_MILLIS,
                measurement.views.get(0).size());
    }

    private long measureLeaving(boolean isListed) {
        if (isListed) {
            vms.set(vms.size() - 1, vm(AGENT.value(), "agent", "r0", true));
            listVersion++;
        } else {
            MembershipView view = views.get(random.nextInt(views.size()));
            run(view, view.leaving(AGENT, 0, queue.now()));
        }
        while (queue.now() < WARM_UP_MILLIS + MEASUREMENT_MILLIS) {
            if (views.stream().noneMatch(MembershipMeasurement::usesAgent)) {
                return queue.now() - WARM_UP_MILLIS;
            }
            queue.runUntil(queue.now() + 10);
        }
        return MEASUREMENT_MILLIS;
    }

    private static boolean usesAgent(MembershipView view) {
        return view.find(AGENT).map(m -> m.isUsable()).orElse(false);
    }

    private void tick(MembershipView view) {
        run(view, view.tick(queue.now()));
        queue.after(TICK_INTERVAL_MILLIS, () -> tick(view));
    }

    private void run(MembershipView view, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.SendNotices send) {
                send(byId.get(send.peer().node()), send.notices());
            } else if (action instanceof MembershipAction.ReadVmList) {
                listReads++;
                bytes += listBytes(view);
                List<VmRecord> list = List.copyOf(vms);
                queue.after(5 + random.nextInt(40), () -> run(view, view.vmListRead(list, queue.now())));
            }
        }
    }

    /** Returns the size of a read; a read with the entity tag of the current list transfers no entries. */
    private long listBytes(MembershipView view) {
        Integer known = knownListVersions.put(view, listVersion);
        boolean isUnchanged = known != null && known == listVersion;
        return isUnchanged ? UNCHANGED_LIST_BYTES : UNCHANGED_LIST_BYTES + (long) VM_LIST_ENTRY_BYTES * vms.size();
    }

    private void send(MembershipView target, List<LeavingNotice> notices) {
        messages++;
        bytes += MESSAGE_BYTES + (long) NOTICE_BYTES * notices.size();
        if (random.nextInt(1_000) >= LOSS_PER_MILLE) {
            queue.after(1 + random.nextInt(40), () -> run(target, target.noticesReceived(notices, queue.now())));
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
