package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.schedule.MemoryScheduler;
import io.hornbeamscale.core.schedule.ScheduleAction;
import io.hornbeamscale.core.schedule.SchedulerConfig;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.stream.RetentionBuffer;
import io.hornbeamscale.core.stream.RetentionLimits;
import io.hornbeamscale.core.work.Reservation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Measures heap and processor time of the agent's controllers by size. */
final class AgentMeasurements {
    private static final List<Integer> RUNNING = List.of(32, 64, 128);
    private static final List<Integer> WAITING = List.of(500, 1_000, 2_000);
    private static final List<Integer> TOKENS = List.of(500, 1_000, 2_000);
    private static final int GENERATIONS = 200;
    private static final int OPERATIONS = 20_000;
    private static final long CAPACITY_TOKENS = 10_000_000;

    private AgentMeasurements() {}

    static List<LinearFit> all() {
        return List.of(
                ResourceMeter.measureHeap("agent, per waiting reservation", WAITING, AgentMeasurements::waiting),
                ResourceMeter.measureHeap(
                        "agent, 200 generations, per retained token each", TOKENS, AgentMeasurements::retained),
                ResourceMeter.measureCpuTime(
                        "agent, one token, by running generations", RUNNING, AgentMeasurements::token),
                ResourceMeter.measureCpuTime("agent, tick, by waiting reservations", WAITING, AgentMeasurements::tick),
                ResourceMeter.measureCpuTime(
                        "agent, request from reservation to end, by running", RUNNING, AgentMeasurements::request));
    }

    private static Object waiting(int reservations) {
        MemoryScheduler scheduler = scheduler(1);
        for (int i = 0; i < reservations; i++) {
            scheduler.reserve(reservation(i, 0), 0);
        }
        int waiting = scheduler.status(0).waiting();
        if (waiting < reservations - 1) {
            throw new IllegalStateException("only " + waiting + " of " + reservations + " reservations wait");
        }
        return scheduler;
    }

    private static Object retained(int tokens) {
        RetentionBuffer buffer = new RetentionBuffer(RetentionLimits.standard(), false);
        for (int i = 0; i < GENERATIONS; i++) {
            GenerationId generation = new GenerationId(CapacityFixtures.backend(1), 1, i);
            buffer.started(generation, customer(i), new GenerationReader(new NodeId("entry-1"), attempt(i)), 0);
            for (int offset = 0; offset < tokens; offset++) {
                buffer.tokens(generation, offset, List.of(" t" + offset), 0);
            }
        }
        return buffer;
    }

    private static Supplier<Integer> token(int running) {
        MemoryScheduler scheduler = scheduler(running);
        RetentionBuffer buffer = new RetentionBuffer(RetentionLimits.standard(), false);
        List<AttemptId> attempts = start(scheduler, running);
        for (int i = 0; i < running; i++) {
            GenerationId generation = new GenerationId(CapacityFixtures.backend(1), 1, i);
            buffer.started(generation, customer(i), new GenerationReader(new NodeId("entry-1"), attempt(i)), 0);
        }
        int[] next = {0};
        return () -> {
            for (int i = 0; i < OPERATIONS; i++) {
                int number = next[0]++;
                int which = number % running;
                scheduler.tokens(attempts.get(which), 1, number / 1_000);
                GenerationId generation = new GenerationId(CapacityFixtures.backend(1), 1, which);
                buffer.tokens(generation, number / running, List.of(" token"), number / 1_000);
            }
            return OPERATIONS;
        };
    }

    private static Supplier<Integer> tick(int reservations) {
        MemoryScheduler scheduler = (MemoryScheduler) waiting(reservations);
        return () -> {
            for (int i = 0; i < 200; i++) {
                scheduler.tick(1);
            }
            return 200;
        };
    }

    private static Supplier<Integer> request(int running) {
        MemoryScheduler scheduler = scheduler(running + 1);
        start(scheduler, running);
        int[] next = {running};
        return () -> {
            for (int i = 0; i < OPERATIONS; i++) {
                int number = next[0]++;
                long now = number / 1_000;
                AttemptId attempt = grant(scheduler, scheduler.reserve(reservation(number, now), now), now);
                scheduler.ended(attempt, true, now);
            }
            return OPERATIONS;
        };
    }

    private static List<AttemptId> start(MemoryScheduler scheduler, int count) {
        List<AttemptId> attempts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            attempts.add(grant(scheduler, scheduler.reserve(reservation(i, 0), 0), 0));
        }
        return attempts;
    }

    private static AttemptId grant(MemoryScheduler scheduler, List<ScheduleAction> actions, long nowMillis) {
        for (ScheduleAction action : actions) {
            if (action instanceof ScheduleAction.SendGrant grant) {
                if (!scheduler.start(grant.attempt(), grant.grant(), nowMillis)) {
                    throw new IllegalStateException("the grant of " + grant.attempt() + " is not valid");
                }
                return grant.attempt();
            }
        }
        throw new IllegalStateException("the scheduler granted nothing: " + actions);
    }

    private static MemoryScheduler scheduler(int maxRunning) {
        return new MemoryScheduler(SchedulerConfig.builder(CapacityFixtures.backend(1), 1)
                .capacityTokens(CAPACITY_TOKENS)
                .maxRunning(maxRunning)
                .shortSharePercent(0)
                .build());
    }

    private static Reservation reservation(int number, long nowMillis) {
        return new Reservation(
                attempt(number), new NodeId("entry-" + number % 12), CapacityFixtures.work(number, nowMillis));
    }

    private static AttemptId attempt(int number) {
        return new AttemptId(new RequestId("entry-101-" + number), 1);
    }

    private static CustomerId customer(int number) {
        return new CustomerId("customer-" + number % CapacityFixtures.CUSTOMERS);
    }
}
