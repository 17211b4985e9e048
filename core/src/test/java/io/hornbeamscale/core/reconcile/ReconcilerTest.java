package io.hornbeamscale.core.reconcile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a rollout that changes more capacity than allowed, exceeds its share of the weight store's rate,
 * repeats or loses commands, or does not finish after a failure of the lease holder or the store.
 */
class ReconcilerTest {
    private static final int ENGINES = 20;
    private static final int PERCENT = 25;
    private static final long LOADING_MILLIS = 4_000;
    private static final long LIMIT_MILLIS = 600_000;

    enum Fault {
        NONE,
        HOLDER_CRASHES,
        HOLDER_PAUSES,
        ENGINE_UNREACHABLE,
        WEIGHT_STORE_REFUSES,
        REPLIES_LOST,
        STORE_DOWN
    }

    /** At 2 loads per second, the weight store is the limiting factor; at 40, the capacity that may change is. */
    static Stream<Arguments> faults() {
        return Stream.of(Fault.values()).flatMap(f -> Stream.of(Arguments.of(f, 2.0), Arguments.of(f, 40.0)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void finishesARolloutWithinItsLimits(Fault fault, double loadRate) {
        for (long seed = 1; seed <= 20; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, fault, loadRate);
            simulation.run();
            String where = fault + " at " + loadRate + " loads/s with seed " + seed;
            assertTrue(simulation.isFinished(), "not finished: " + where);
            assertTrue(
                    simulation.maxChanging <= ENGINES * PERCENT / 100,
                    "changing " + simulation.maxChanging + ": " + where);
            // Two nodes share the rate; each may have one permit saved.
            double allowed = 2 + simulation.loadRate * simulation.nowMillis / 1_000.0;
            assertTrue(simulation.loads <= allowed, "loads " + simulation.loads + ": " + where);
            assertEquals(ENGINES, simulation.effects, "each engine changes once: " + where);
            assertEquals(0, simulation.staleEffects, "effect of a former holder: " + where);
        }
    }

    @Test
    void issuesNoCommandBeforeEveryEngineIsRead() {
        Reconciler node = reconciler("a", new WeightLoadLimiter(1_000, 0));
        node.setDesiredStates(
                List.of(desired("e1", "v2"), desired("e2", "v2"), desired("e3", "v2"), desired("e4", "v2")), 50);
        node.setCandidate(true);
        node.tick(0);
        node.storeReplied(new StoreReply.Leased("reconcile/tours", 1, LeaseRenewer.TTL_MILLIS), 10);
        assertFalse(isCommand(node.engineStateRead(new BackendId("e1"), loaded("v1"), 20)));
        assertFalse(isCommand(node.engineStateRead(new BackendId("e2"), loaded("v1"), 30)));
        node.engineUnreachable(new BackendId("e3"), 40);
        assertTrue(isCommand(node.engineStateRead(new BackendId("e4"), loaded("v2"), 50)));
    }

    @Test
    void discardsKnownStatesWhenTheLeaseIsAcquiredAgain() {
        Reconciler node = reconciler("a", new WeightLoadLimiter(1_000, 0));
        node.setDesiredStates(List.of(desired("e1", "v2")), 100);
        node.setCandidate(true);
        node.tick(0);
        node.storeReplied(new StoreReply.Leased("reconcile/tours", 1, LeaseRenewer.TTL_MILLIS), 10);
        node.commandReplied(new BackendId("e1"), new EngineCommandReply.Refused(), 20);
        node.engineStateRead(new BackendId("e1"), loaded("v2"), 30);
        node.tick(4_000);
        node.storeReplied(new StoreReply.Conflict("reconcile/tours", 2), 4_010);
        node.tick(6_000);
        node.storeReplied(new StoreReply.Leased("reconcile/tours", 3, LeaseRenewer.TTL_MILLIS), 6_010);
        assertEquals(List.of(new BackendId("e1")), node.unreconciledEngines());
    }

    @Test
    void stopsBeforeTheLeaseEnds() {
        Reconciler node = reconciler("a", new WeightLoadLimiter(1_000, 0));
        node.setDesiredStates(List.of(desired("e1", "v2")), 100);
        node.setCandidate(true);
        node.tick(0);
        node.storeReplied(new StoreReply.Leased("reconcile/tours", 1, LeaseRenewer.TTL_MILLIS), 5_000);
        assertTrue(node.isHolder(5_000));
        assertFalse(node.isHolder(7_500));
        assertFalse(isCommand(node.engineStateRead(new BackendId("e1"), loaded("v1"), 8_000)));
    }

    @Test
    void loadsBeforeUnloadingAndChangesTheRoleLast() {
        DesiredEngineState desired =
                new DesiredEngineState(new BackendId("e"), Map.of("m", "v2"), Map.of("a", "v2"), "prefill", 1);
        ActualEngineState actual =
                new ActualEngineState(Map.of("m", "v1", "old", "v1"), Map.of("b", "v1"), "serve", 0, false);
        List<Class<?>> order = new ArrayList<>();
        Optional<EngineCommand> next = EngineCommandPlan.next(desired, actual, 7);
        while (next.isPresent()) {
            order.add(next.get().getClass());
            actual = RolloutSimulation.after(actual, next.get());
            next = EngineCommandPlan.next(desired, actual, 7);
        }
        assertEquals(
                List.of(
                        EngineCommand.LoadModel.class,
                        EngineCommand.LoadAdapter.class,
                        EngineCommand.UnloadAdapter.class,
                        EngineCommand.UnloadModel.class,
                        EngineCommand.ChangeRole.class),
                order);
    }

    private static boolean isCommand(List<ReconcileAction> actions) {
        return actions.stream().anyMatch(a -> a instanceof ReconcileAction.SendCommand);
    }

    private static Reconciler reconciler(String owner, WeightLoadLimiter limiter) {
        return new Reconciler(new ServiceId("tours"), owner, limiter, new Random(1));
    }

    private static DesiredEngineState desired(String name, String version) {
        return new DesiredEngineState(new BackendId(name), Map.of("m", version), Map.of(), "", 1);
    }

    private static ActualEngineState loaded(String version) {
        return new ActualEngineState(Map.of("m", version), Map.of(), "serve", 0, false);
    }

    /** Simulates two reconcilers, a store with one lease, and engines that take time to load, with a manual clock. */
    private static final class RolloutSimulation {
        private static final int NODES = 2;

        private final double loadRate;
        private final Random random;
        private final Fault fault;
        private final List<Reconciler> nodes = new ArrayList<>();
        private final long[] pausedUntil = new long[NODES];
        private final boolean[] isCrashed = new boolean[NODES];
        private final Map<BackendId, ActualEngineState> engines =
                new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        private final Map<BackendId, Long> loadingUntil =
                new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
                a.atMillis == b.atMillis ? Long.compare(a.sequence, b.sequence) : Long.compare(a.atMillis, b.atMillis));
        private String leaseOwner = "";
        private long leaseEnd;
        private long fence;
        private long nowMillis;
        private long sequence;
        private int maxChanging;
        private int loads;
        private int effects;
        private int staleEffects;
        private boolean hasInjectedFault;

        private RolloutSimulation(long seed, Fault fault, double loadRate) {
            this.loadRate = loadRate;
            this.random = new Random(seed);
            this.fault = fault;
            List<DesiredEngineState> desiredStates = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                engines.put(new BackendId("e" + i), loaded("v1"));
                desiredStates.add(desired("e" + i, "v2"));
            }
            for (int i = 0; i < NODES; i++) {
                WeightLoadLimiter limiter = new WeightLoadLimiter(loadRate, 0);
                limiter.setNodes(NODES, 0);
                Reconciler node = new Reconciler(new ServiceId("tours"), "node-" + i, limiter, new Random(seed + i));
                node.setDesiredStates(desiredStates, PERCENT);
                node.setCandidate(true);
                nodes.add(node);
                tickLater(i);
            }
        }

        private void run() {
            while (nowMillis < LIMIT_MILLIS && !isFinished()) {
                Task task = tasks.poll();
                nowMillis = task.atMillis;
                task.run.run();
                injectFault();
                int changing = (int) loadingUntil.values().stream()
                        .filter(end -> end > nowMillis)
                        .count();
                maxChanging = Math.max(maxChanging, changing);
            }
        }

        private boolean isFinished() {
            return engines.values().stream()
                    .allMatch(e -> "v2".equals(e.models().get("m")));
        }

        private void injectFault() {
            if (hasInjectedFault || effects < 5 || leaseOwner.isEmpty()) {
                return;
            }
            hasInjectedFault = true;
            int holder = Integer.parseInt(leaseOwner.substring("node-".length()));
            if (fault == Fault.HOLDER_CRASHES) {
                isCrashed[holder] = true;
            } else if (fault == Fault.HOLDER_PAUSES) {
                pausedUntil[holder] = nowMillis + 25_000;
            }
        }

        private boolean isActive(Fault kind) {
            return fault == kind && effects >= 5 && nowMillis < 60_000;
        }

        private void after(long millis, Runnable run) {
            tasks.add(new Task(nowMillis + millis, sequence++, run));
        }

        /** Runs an event on a node; a paused node runs it when the pause ends, with the time of that moment. */
        private void onNode(int index, Runnable run) {
            if (nowMillis < pausedUntil[index]) {
                after(pausedUntil[index] - nowMillis, () -> onNode(index, run));
            } else if (!isCrashed[index]) {
                run.run();
            }
        }

        private void tickLater(int index) {
            after(
                    50 + random.nextInt(50),
                    () -> onNode(index, () -> {
                        perform(index, nodes.get(index).tick(nowMillis));
                        tickLater(index);
                    }));
        }

        private void perform(int index, List<ReconcileAction> actions) {
            Reconciler node = nodes.get(index);
            for (ReconcileAction action : actions) {
                long delay = 1L + random.nextInt(30);
                if (action instanceof ReconcileAction.CallStore call) {
                    after(delay, () -> {
                        StoreReply reply = store((StoreCall.AcquireLease) call.call());
                        after(5, () -> onNode(index, () -> perform(index, node.storeReplied(reply, nowMillis))));
                    });
                } else if (action instanceof ReconcileAction.ReadEngineState read) {
                    after(delay, () -> read(index, read.backend()));
                } else if (action instanceof ReconcileAction.SendCommand send) {
                    after(delay, () -> {
                        EngineCommandReply reply = command(send);
                        after(
                                5,
                                () -> onNode(
                                        index,
                                        () -> perform(index, node.commandReplied(send.backend(), reply, nowMillis))));
                    });
                }
            }
        }

        private StoreReply store(StoreCall.AcquireLease call) {
            if (isActive(Fault.STORE_DOWN)) {
                return new StoreReply.NoAnswer(call.key());
            }
            if (!leaseOwner.equals(call.owner()) && leaseEnd > nowMillis) {
                return new StoreReply.Conflict(call.key(), fence);
            }
            fence += leaseOwner.equals(call.owner()) && leaseEnd > nowMillis ? 0 : 1;
            leaseOwner = call.owner();
            leaseEnd = nowMillis + call.ttlMillis();
            return new StoreReply.Leased(call.key(), fence, call.ttlMillis());
        }

        private void read(int index, BackendId id) {
            Reconciler node = nodes.get(index);
            if (isUnreachable(id)) {
                after(1_000, () -> onNode(index, () -> perform(index, node.engineUnreachable(id, nowMillis))));
                return;
            }
            ActualEngineState state = state(id);
            after(5, () -> onNode(index, () -> perform(index, node.engineStateRead(id, state, nowMillis))));
        }

        private boolean isUnreachable(BackendId id) {
            return isActive(Fault.ENGINE_UNREACHABLE) && id.value().equals("e7");
        }

        private ActualEngineState state(BackendId id) {
            ActualEngineState actual = engines.get(id);
            boolean isLoading = loadingUntil.getOrDefault(id, 0L) > nowMillis;
            return new ActualEngineState(actual.models(), actual.adapters(), actual.role(), actual.fence(), isLoading);
        }

        private EngineCommandReply command(ReconcileAction.SendCommand send) {
            ActualEngineState before = engines.get(send.backend());
            if (isUnreachable(send.backend())) {
                return new EngineCommandReply.NoAnswer();
            }
            if (send.command().fence() < before.fence()) {
                return new EngineCommandReply.StaleFence(before.fence());
            }
            loads++;
            if (isActive(Fault.WEIGHT_STORE_REFUSES) && random.nextInt(3) > 0) {
                return new EngineCommandReply.Refused();
            }
            ActualEngineState result = after(before, send.command());
            if (!result.models().equals(before.models())) {
                effects++;
                staleEffects += send.command().fence() < fence ? 1 : 0;
                loadingUntil.put(send.backend(), nowMillis + LOADING_MILLIS);
            }
            engines.put(send.backend(), result);
            boolean isLost = isActive(Fault.REPLIES_LOST) && random.nextBoolean();
            return isLost ? new EngineCommandReply.NoAnswer() : new EngineCommandReply.Accepted(state(send.backend()));
        }

        private static ActualEngineState after(ActualEngineState before, EngineCommand command) {
            Map<String, String> models = new TreeMap<>(before.models());
            Map<String, String> adapters = new TreeMap<>(before.adapters());
            String role = before.role();
            if (command instanceof EngineCommand.LoadModel load) {
                models.put(load.model(), load.version());
            } else if (command instanceof EngineCommand.LoadAdapter load) {
                adapters.put(load.adapter(), load.version());
            } else if (command instanceof EngineCommand.UnloadModel unload) {
                models.remove(unload.model());
            } else if (command instanceof EngineCommand.UnloadAdapter unload) {
                adapters.remove(unload.adapter());
            } else if (command instanceof EngineCommand.ChangeRole change) {
                role = change.role();
            }
            return new ActualEngineState(models, adapters, role, Math.max(before.fence(), command.fence()), false);
        }

        private record Task(long atMillis, long sequence, Runnable run) {}
    }
}
