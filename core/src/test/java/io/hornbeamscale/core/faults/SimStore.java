package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The store behind a network, with its faults. */
final class SimStore {
    final InMemoryStore store = new InMemoryStore();
    private final FaultSimulation sim;
    private final Set<SimProcess> cutOff = new HashSet<>();
    private long downUntil;
    private long slowUntil;
    private long losingUntil;
    private long lateUntil;

    SimStore(FaultSimulation sim) {
        this.sim = sim;
    }

    void down(long millis) {
        downUntil = sim.now + millis;
    }

    void slow(long millis) {
        slowUntil = sim.now + millis;
    }

    void loseReplies(long millis) {
        losingUntil = sim.now + millis;
    }

    void delayWrites(long millis) {
        lateUntil = sim.now + millis;
    }

    void cutOff(SimProcess node, long millis) {
        cutOff.add(node);
        sim.after(millis, () -> cutOff.remove(node));
    }

    void call(SimProcess node, StoreCall call, Consumer<StoreReply> replied) {
        long incarnation = node.incarnation;
        Consumer<StoreReply> reply = value -> node.run(incarnation, () -> replied.accept(value));
        StoreReply noAnswer = new StoreReply.NoAnswer(call.key());
        if (sim.now < downUntil || cutOff.contains(node)) {
            sim.after(100, () -> reply.accept(noAnswer));
        } else if (sim.now < lateUntil && sim.random.nextBoolean()) {
            sim.after(200, () -> reply.accept(noAnswer));
            sim.after(sim.random.nextInt(6_000), () -> store.apply(call, sim.now));
        } else if (sim.now < losingUntil && sim.random.nextBoolean()) {
            sim.after(2, () -> store.apply(call, sim.now));
            sim.after(200, () -> reply.accept(noAnswer));
        } else {
            long delay = sim.now < slowUntil ? 200 + sim.random.nextInt(2_500) : 1 + sim.random.nextInt(4);
            sim.after(delay, () -> {
                StoreReply value = store.apply(call, sim.now);
                sim.after(1 + sim.random.nextInt(3), () -> reply.accept(value));
            });
        }
    }
}
