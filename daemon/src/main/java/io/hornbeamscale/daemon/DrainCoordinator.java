package io.hornbeamscale.daemon;

import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainController;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.gateway.ControlLoop;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.Logger;

/**
 * Runs the graceful stop of a daemon. Used on the control thread; {@link #isDraining} and {@link #isOver} may be called
 * on any thread.
 */
final class DrainCoordinator {
    private final Logger log;
    private final Runnable stopNewWork;
    private final Supplier<List<RunningWork>> runningWork;
    private final Consumer<DrainAction> abort;
    private DrainController controller;
    private volatile boolean isOver;
    private volatile boolean isDraining;

    DrainCoordinator(
            Logger log, Runnable stopNewWork, Supplier<List<RunningWork>> runningWork, Consumer<DrainAction> abort) {
        this.log = log;
        this.stopNewWork = stopNewWork;
        this.runningWork = runningWork;
        this.abort = abort;
    }

    /** Starts a graceful stop with a time limit. Has no effect if a stop has already started. */
    void begin(DrainReason reason, long limitMillis) {
        if (controller == null) {
            log.info("Draining: {}; running responses have {} ms to finish.", reason, limitMillis);
            controller = new DrainController(limitMillis);
            isDraining = true;
            controller.leaving(reason, ControlLoop.now());
            stopNewWork.run();
        }
    }

    void tick(int unacknowledged) {
        if (controller == null || isOver) {
            return;
        }
        for (DrainAction action : controller.progress(runningWork.get(), unacknowledged, ControlLoop.now())) {
            if (action instanceof DrainAction.Exit exit) {
                log.info("Drained; every response was {}.", exit.isComplete() ? "complete" : "ended");
                isOver = true;
            } else {
                abort.accept(action);
            }
        }
    }

    boolean isDraining() {
        return isDraining;
    }

    boolean isOver() {
        return isOver;
    }
}
