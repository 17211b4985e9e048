package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.core.dispatch.DispatchAction;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.membership.MembershipView;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.core.stream.DeliveryMode;
import io.hornbeamscale.core.stream.StreamAssembler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/** Measures heap and processor time of the entry's controllers by size. */
final class EntryMeasurements {
    private static final List<Integer> BACKENDS = List.of(16, 32, 64, 128);
    private static final List<Integer> REQUESTS = List.of(1_000, 2_000, 4_000);
    private static final List<Integer> NODES = List.of(240, 480, 960);
    private static final int OPERATIONS = 20_000;
    private static final int MAX_QUEUED = 100_000;
    private static final long GRANT_VALID_MILLIS = 1_000;

    private EntryMeasurements() {}

    static List<LinearFit> all() {
        return List.of(
                ResourceMeter.measureHeap(
                        "entry, per watched backend server",
                        BACKENDS,
                        n -> CapacityFixtures.dispatcher(n, MAX_QUEUED, 0)),
                ResourceMeter.measureHeap("entry, per waiting request", REQUESTS, EntryMeasurements::waiting),
                ResourceMeter.measureHeap("entry, per open stream (assembler)", REQUESTS, EntryMeasurements::streams),
                ResourceMeter.measureHeap("any node, per member", NODES, EntryMeasurements::members),
                ResourceMeter.measureCpuTime(
                        "entry, request through the dispatcher, by watched servers",
                        BACKENDS,
                        EntryMeasurements::request),
                ResourceMeter.measureCpuTime(
                        "entry, status of a backend server, by watched servers", BACKENDS, EntryMeasurements::status),
                ResourceMeter.measureCpuTime("entry, tick, by waiting requests", REQUESTS, EntryMeasurements::tick),
                ResourceMeter.measureCpuTime(
                        "any node, VM list of that many nodes", NODES, EntryMeasurements::readVmList));
    }

    private static Object waiting(int requests) {
        ReservationDispatcher dispatcher = CapacityFixtures.dispatcher(32, MAX_QUEUED, 0);
        for (int i = 0; i < requests; i++) {
            dispatcher.submit(CapacityFixtures.work(i, 0), 0);
        }
        if (dispatcher.queued() != requests) {
            throw new IllegalStateException("only " + dispatcher.queued() + " of " + requests + " requests wait");
        }
        return dispatcher;
    }

    private static Object streams(int count) {
        List<StreamAssembler> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StreamAssembler stream = new StreamAssembler(DeliveryMode.STREAM, true);
            AttemptId attempt = new AttemptId(new RequestId("entry-101-" + i), 1);
            GenerationId generation = new GenerationId(CapacityFixtures.backend(i % 32), 1, i);
            stream.handedOver(attempt, generation, 0);
            stream.tokens(attempt, generation, 0, List.of(" token"), 0);
            streams.add(stream);
        }
        return streams;
    }

    private static Object members(int nodes) {
        MembershipView view = new MembershipView(vm(0), 1, new Random(CapacityFixtures.SEED));
        view.vmListRead(vms(nodes), 0);
        return view;
    }

    private static Supplier<Integer> readVmList(int nodes) {
        MembershipView view = new MembershipView(vm(0), 1, new Random(CapacityFixtures.SEED));
        List<VmRecord> vms = vms(nodes);
        long[] now = {0};
        return () -> {
            for (int i = 0; i < 100; i++) {
                now[0] += MembershipView.VM_LIST_PERIOD_MILLIS;
                view.vmListRead(vms, now[0]);
            }
            return 100;
        };
    }

    private static Supplier<Integer> request(int backends) {
        ReservationDispatcher dispatcher = CapacityFixtures.dispatcher(backends, MAX_QUEUED, 0);
        int[] next = {0};
        return () -> {
            for (int i = 0; i < OPERATIONS; i++) {
                runOne(dispatcher, next[0]++);
            }
            return OPERATIONS;
        };
    }

    private static void runOne(ReservationDispatcher dispatcher, int number) {
        long now = number;
        for (DispatchAction action : dispatcher.submit(CapacityFixtures.work(number, now), now)) {
            if (action instanceof DispatchAction.SendReserve reserve) {
                GrantId grant = new GrantId(1, number);
                dispatcher.granted(reserve.backend(), reserve.attempt(), grant, GRANT_VALID_MILLIS, now);
                dispatcher.tokens(reserve.attempt(), 1, now);
                dispatcher.ended(reserve.attempt(), now);
                return;
            }
        }
        throw new IllegalStateException("the dispatcher reserved nothing for request " + number);
    }

    private static Supplier<Integer> status(int backends) {
        ReservationDispatcher dispatcher = CapacityFixtures.dispatcher(backends, MAX_QUEUED, 0);
        int[] next = {0};
        return () -> {
            for (int i = 0; i < OPERATIONS; i++) {
                int number = next[0]++;
                dispatcher.status(CapacityFixtures.status(number % backends, number % 32), number);
            }
            return OPERATIONS;
        };
    }

    private static Supplier<Integer> tick(int requests) {
        ReservationDispatcher dispatcher = (ReservationDispatcher) waiting(requests);
        return () -> {
            for (int i = 0; i < 1_000; i++) {
                dispatcher.tick(1);
            }
            return 1_000;
        };
    }

    private static List<VmRecord> vms(int nodes) {
        List<VmRecord> vms = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            vms.add(vm(i));
        }
        return vms;
    }

    private static VmRecord vm(int number) {
        return new VmRecord(
                new NodeId("entry-" + number),
                "entry",
                "10.0." + number / 250 + "." + number % 250 + ":7000",
                CapacityFixtures.REGION,
                CapacityFixtures.ZONE,
                false);
    }
}
