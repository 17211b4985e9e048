package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.claim.ClaimCounters;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.fence.FencedCommand;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** Simulates processes, callers and faults with a manual clock. The seed determines the interleaving. */
final class FaultSimulation {
    private static final List<CallKind> KINDS = List.of(CallKind.values());
    private static final long TICK_MILLIS = 50;
    private static final long LATE_TICK_MILLIS = 5_000;
    private static final long BUSY_MILLIS = 60_000;
    private static final long END_MILLIS = 230_000;
    private static final long LEASE_MILLIS = 400;

    /** A normal run has a few thousand events; many more indicate that processes send each other messages endlessly. */
    private static final long MAX_EVENTS = 300_000;

    final SplittableRandom random;
    final Defect defect;
    final RunStatistics statistics = new RunStatistics();
    final InvariantChecker invariants = new InvariantChecker();
    final SimNetwork network = new SimNetwork(this);
    final SimStore store = new SimStore(this);
    final List<SimEntry> entries = new ArrayList<>();
    final List<SimAgent> agents = new ArrayList<>();
    final Map<RequestId, SimMessage.Call> calls = new HashMap<>();
    long now;
    private final Set<FaultKind> faults;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimCaller> callers = new ArrayList<>();
    private final Map<String, Long> crashesByBody = new HashMap<>();
    private final int entryCount;
    private long nextEvent;
    private int openCallers;
    private boolean isDuplicating;
    private boolean isLosingResults;

    FaultSimulation(long seed, Defect defect, Set<FaultKind> faults) {
        this(seed, defect, faults, false);
    }

    /** Creates a simulation, either with the daemons' composed controllers or with those composed in this package. */
    FaultSimulation(long seed, Defect defect, Set<FaultKind> faults, boolean isComposed) {
        random = new SplittableRandom(seed);
        this.defect = defect;
        this.faults = faults;
        entryCount = 2 + random.nextInt(2);
        int agentCount = 2 + random.nextInt(2);
        for (int i = 0; i < entryCount; i++) {
            entries.add(isComposed ? new ComposedEntry(this, "entry-" + i) : new SimEntry(this, "entry-" + i));
        }
        for (int i = 0; i < agentCount; i++) {
            agents.add(isComposed ? new ComposedAgent(this, "agent-" + i) : new SimAgent(this, "agent-" + i));
        }
    }

    /** Runs to the end and returns the violations. */
    List<String> run() {
        addCallers();
        addFaults();
        at(TICK_MILLIS, this::tick);
        while (!events.isEmpty()) {
            Event event = events.remove();
            now = event.atMillis();
            event.action().run();
            if (nextEvent > MAX_EVENTS) {
                invariants.neverEnded("more than " + MAX_EVENTS + " events");
            }
            if (!invariants.violations.isEmpty()) {
                break;
            }
        }
        finish();
        return invariants.violations;
    }

    private void finish() {
        for (SimCaller caller : callers) {
            if (caller.ending == null && invariants.violations.isEmpty()) {
                invariants.neverEnded(caller.call + " got no response");
            }
            statistics.ending(caller.call.kind(), String.valueOf(caller.ending));
            if (faults.size() <= 1 && !caller.call.isPoison()) {
                String fault =
                        faults.isEmpty() ? "NONE" : faults.iterator().next().name();
                statistics.availability(
                        fault, caller.call.kind(), caller.isServed, caller.endedMillis - caller.sentMillis);
            }
        }
        entries.forEach(SimEntry::addClaimCounters);
        statistics.runs = 1;
        statistics.storeCalls = store.store.calls();
        invariants.violations.forEach(statistics::violation);
    }

    private void tick() {
        for (SimProcess node : nodes()) {
            if (node.isUp && !node.isPaused()) {
                node.tick();
            }
        }
        boolean isBusy = openCallers > 0 && now < BUSY_MILLIS;
        if (isBusy) {
            after(TICK_MILLIS, this::tick);
        } else if (now < END_MILLIS && (openCallers > 0 || !events.isEmpty())) {
            after(openCallers > 0 ? 500 : LATE_TICK_MILLIS, this::tick);
        }
    }

    private void addCallers() {
        int count = 2 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            CallKind kind = KINDS.get(random.nextInt(KINDS.size()));
            CustomerId customer = new CustomerId("customer-" + random.nextInt(2));
            boolean isPoison = faults.contains(FaultKind.POISON_REQUEST) && !kind.isPlain() && random.nextInt(3) == 0;
            SimMessage.Call call = new SimMessage.Call(kind, "body-" + i, "key-" + i, isPoison, customer);
            addCaller(call, isPoison ? 8 : 4, random.nextInt(1_500));
            if (kind == CallKind.KEYED) {
                addCallersWithSameKey(call);
            } else if (isPoison) {
                addCaller(call, 8, random.nextInt(1_500));
            }
        }
    }

    /** Adds callers that use the same idempotency key at the same time or later, with the same or another body. */
    private void addCallersWithSameKey(SimMessage.Call call) {
        int choice = random.nextInt(4);
        if (choice == 0 || choice == 1) {
            addCaller(call, 4, random.nextInt(choice == 0 ? 1_500 : 6_000));
        } else if (choice == 2) {
            SimMessage.Call other =
                    new SimMessage.Call(call.kind(), call.body() + "-other", call.key(), false, call.customer());
            addCaller(other, 4, random.nextInt(3_000));
        }
    }

    private void addCaller(SimMessage.Call call, int maxResends, long atMillis) {
        SimCaller caller = new SimCaller(this, call, maxResends);
        callers.add(caller);
        openCallers++;
        at(atMillis, caller::send);
    }

    void callerEnded(SimCaller caller) {
        openCallers--;
    }

    private void addFaults() {
        if (faults.isEmpty()) {
            return;
        }
        List<FaultKind> choices = List.copyOf(EnumSet.copyOf(faults));
        int count = faults.size() == 1 ? 1 : random.nextInt(6);
        for (int i = 0; i < count; i++) {
            FaultKind fault = choices.get(random.nextInt(choices.size()));
            at(random.nextInt(2_500), () -> inject(fault));
        }
    }

    private void inject(FaultKind fault) {
        SimEntry entry = entries.get(random.nextInt(entries.size()));
        SimAgent agent = agents.get(random.nextInt(agents.size()));
        SimProcess peer = random.nextInt(4) == 0 ? entries.get(random.nextInt(entries.size())) : agent;
        long millis = 50L + random.nextInt(4_000);
        switch (fault) {
            case LINK_LOST -> network.breakLink(entry, peer, random.nextInt(1_500), false);
            case OLD_FRAMES -> {
                network.stall(entry, peer, millis);
                after(millis - 1, () -> network.breakLink(entry, peer, random.nextInt(500), true));
            }
            case LINK_STALLED -> network.stall(entry, peer, millis);
            case ENTRY_FAILED -> entry.fail(200 + random.nextInt(3_000));
            case ENTRY_PAUSED -> entry.pause(millis);
            case ENTRY_STOPPED -> entry.leave();
            case AGENT_FAILED -> agent.fail(100 + random.nextInt(2_000));
            case AGENT_PAUSED -> agent.pause(millis);
            case AGENT_DRAINED -> drain(agent);
            case AGENT_RECLAIMED -> reclaim(agent, 200 + random.nextInt(2_000));
            case ENGINE_FAILED -> agent.backend.crash();
            case RESULT_LOST -> isLosingResults = true;
            case STORE_DOWN -> store.down(millis * (random.nextInt(4) == 0 ? 10 : 1));
            case STORE_SLOW -> store.slow(millis * (random.nextInt(4) == 0 ? 10 : 1));
            case STORE_REPLY_LOST -> store.loseReplies(millis);
            case STORE_WRITE_LATE -> store.delayWrites(millis);
            case REGION_CUT_OFF -> cutOff(millis);
            case START_DUPLICATED -> isDuplicating = true;
            case LEASE_LAPSED -> sendFencedCommands();
            default -> {
                return;
            }
        }
        if (fault != FaultKind.OLD_FRAMES && fault != FaultKind.RESULT_LOST && fault != FaultKind.START_DUPLICATED) {
            statistics.count(fault);
        }
    }

    private void drain(SimAgent agent) {
        if (agent.isUp) {
            agent.run(agent.incarnation, () -> agent.leave(DrainReason.LISTED_AS_LEAVING));
        }
    }

    private void reclaim(SimAgent agent, long noticeMillis) {
        agent.run(agent.incarnation, () -> agent.reclaim(noticeMillis));
        long incarnation = agent.incarnation;
        after(noticeMillis, () -> {
            agent.backend.streams.clear();
            if (agent.incarnation == incarnation) {
                agent.fail(30_000);
            }
        });
    }

    /** Breaks all links between the first and the other nodes of each kind, and cuts the others off from the store. */
    private void cutOff(long millis) {
        for (SimProcess near : nodes()) {
            for (SimProcess far : nodes()) {
                if (near.name.endsWith("-0") && !far.name.endsWith("-0")) {
                    network.breakLink(near, far, millis, random.nextInt(4) == 0);
                }
            }
            if (!near.name.endsWith("-0")) {
                store.cutOff(near, millis);
            }
        }
    }

    /** Makes two lease holders send fenced commands, some of them after their lease has expired. */
    private void sendFencedCommands() {
        SimAgent agent = agents.get(0);
        if (random.nextBoolean()) {
            // A restart between two commands must not make the agent forget the higher number.
            statistics.count(FaultKind.AGENT_FAILED);
            after(1_000 + random.nextInt(3_000), () -> agent.fail(50 + random.nextInt(200)));
        }
        for (int i = 0; i < 6; i++) {
            String owner = "holder-" + random.nextInt(2);
            after(random.nextInt(3_000), () -> {
                StoreReply reply = store.store.apply(new StoreCall.AcquireLease("lease", owner, LEASE_MILLIS), now);
                if (reply instanceof StoreReply.Leased leased) {
                    long sentMillis = now + random.nextInt(3_000);
                    FencedCommand command = new FencedCommand(owner + now, leased.fence(), sentMillis + 5_000);
                    at(sentMillis, () -> agent.run(agent.incarnation, () -> agent.command(command)));
                }
            });
        }
    }

    boolean isStartDuplicated() {
        return isDuplicating && random.nextBoolean();
    }

    boolean isResultLost() {
        return isLosingResults && random.nextInt(3) == 0;
    }

    void executed(RequestId request, String onceKey, SimAgent agent) {
        statistics.executions++;
        if (agent.drainStartMillis >= 0) {
            statistics.maxDrainToLastStartMillis =
                    Math.max(statistics.maxDrainToLastStartMillis, now - agent.drainStartMillis);
        }
        invariants.executed(request, onceKey, agent.drainStartMillis >= 0, agent.name);
    }

    void reservedAfterDrain(long millis) {
        statistics.maxDrainToLastReserveMillis = Math.max(statistics.maxDrainToLastReserveMillis, millis);
    }

    /** A request is quarantined after two crashes; by then, further copies of it may already have been started. */
    void crashed(String body) {
        long crashes = crashesByBody.merge(body, 1L, Long::sum);
        statistics.maxCrashesPerRequest = Math.max(statistics.maxCrashesPerRequest, crashes);
    }

    void addClaimCounters(ClaimCounters counters) {
        statistics.askedClaims += counters.requested();
        statistics.unavailableClaims += counters.unavailable();
    }

    void after(long millis, Runnable action) {
        at(now + millis, action);
    }

    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, nextEvent++, action));
    }

    List<SimProcess> nodes() {
        List<SimProcess> nodes = new ArrayList<>(entries);
        nodes.addAll(agents);
        return nodes;
    }

    SimProcess node(NodeId id) {
        for (SimProcess node : nodes()) {
            if (node.name.equals(id.value())) {
                return node;
            }
        }
        throw new IllegalArgumentException("no node " + id);
    }

    SimAgent agent(BackendId id) {
        return (SimAgent) node(new NodeId(id.value()));
    }

    SimEntry anyEntry() {
        List<SimEntry> accepting = new ArrayList<>();
        for (SimEntry entry : entries) {
            if (entry.isAccepting() || (entry.isUp && random.nextInt(10) == 0)) {
                accepting.add(entry);
            }
        }
        return accepting.isEmpty() ? null : accepting.get(random.nextInt(accepting.size()));
    }

    List<NodeId> entryIds() {
        List<NodeId> ids = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            ids.add(new NodeId("entry-" + i));
        }
        return ids;
    }

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
