package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Simulates the network between the processes and the store, including faults. */
final class SimStore {
    final InMemoryStore store = new InMemoryStore();
    private final FaultSimulation sim;
    private final Set<SimProcess> cutOff = new HashSet<>();
    private long downUntilMillis;
    private long slowUntilMillis;
    private long losingRepliesUntilMillis;
    private long delayingWritesUntilMillis;

    SimStore(FaultSimulation sim) {
        this.sim = sim;
    }

    void down(long millis) {
        downUntilMillis = sim.now + millis;
    }

    void slow(long millis) {
        slowUntilMillis = sim.now + millis;
    }

    void loseReplies(long millis) {
        losingRepliesUntilMillis = sim.now + millis;
    }

    void delayWrites(long millis) {
        delayingWritesUntilMillis = sim.now + millis;
    }

    void cutOff(SimProcess node, long millis) {
        cutOff.add(node);
        sim.after(millis, () -> cutOff.remove(node));
    }

    void call(SimProcess node, StoreCall call, Consumer<StoreReply> replied) {
        long incarnation = node.incarnation;
        Consumer<StoreReply> reply = value -> node.run(incarnation, () -> replied.accept(value));
        StoreReply noAnswer = new StoreReply.NoAnswer(call.key());
        if (sim.now < downUntilMillis || cutOff.contains(node)) {
            sim.after(100, () -> reply.accept(noAnswer));
        } else if (sim.now < delayingWritesUntilMillis && sim.random.nextBoolean()) {
            sim.after(200, () -> reply.accept(noAnswer));
            sim.after(sim.random.nextInt(6_000), () -> store.apply(call, sim.now));
        } else if (sim.now < losingRepliesUntilMillis && sim.random.nextBoolean()) {
            sim.after(2, () -> store.apply(call, sim.now));
            sim.after(200, () -> reply.accept(noAnswer));
        } else {
            long delay = sim.now < slowUntilMillis ? 200 + sim.random.nextInt(2_500) : 1 + sim.random.nextInt(4);
            sim.after(delay, () -> {
                StoreReply value = store.apply(call, sim.now);
                sim.after(1 + sim.random.nextInt(3), () -> reply.accept(value));
            });
        }
    }
}
