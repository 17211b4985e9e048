package io.hornbeamscale.core.faults;

import java.util.ArrayDeque;
import java.util.Deque;

/** A simulated process that can be paused, fail and restart. */
abstract class SimProcess {
    final FaultSimulation sim;
    final String name;
    long incarnation;
    boolean isUp = true;
    private boolean isPaused;
    private final Deque<Runnable> inbox = new ArrayDeque<>();

    SimProcess(FaultSimulation sim, String name) {
        this.sim = sim;
        this.name = name;
    }

    /**
     * Runs an event in an incarnation of the process: later if the process is paused, and not at all if it has failed.
     */
    final void run(long forIncarnation, Runnable event) {
        if (!isUp || incarnation != forIncarnation) {
            return;
        }
        if (isPaused) {
            inbox.add(event);
        } else {
            event.run();
        }
    }

    final void pause(long millis) {
        if (!isUp || isPaused) {
            return;
        }
        isPaused = true;
        long paused = incarnation;
        sim.after(millis, () -> {
            if (incarnation == paused && isUp) {
                isPaused = false;
                while (!inbox.isEmpty() && isUp && !isPaused) {
                    inbox.remove().run();
                }
            }
        });
    }

    final boolean isPaused() {
        return isPaused;
    }

    final void fail(long restartMillis) {
        if (!isUp) {
            return;
        }
        isUp = false;
        isPaused = false;
        inbox.clear();
        failed();
        sim.network.breakAllLinks(this);
        sim.after(restartMillis, () -> {
            incarnation++;
            isUp = true;
            restarted();
        });
    }

    abstract void receive(SimProcess from, SimMessage message);

    abstract void linkLost(SimProcess peer);

    abstract void tick();

    abstract void failed();

    abstract void restarted();
}
