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

/** Leads a daemon through a graceful stop. Used on the control thread; {@link #isOver} may be read anywhere. */
final class DrainWatch {
    private final Logger log;
    private final Runnable stopNewWork;
    private final Supplier<List<RunningWork>> running;
    private final Consumer<DrainAction> giveUp;
    private DrainController controller;
    private volatile boolean isOver;
    private volatile boolean isDraining;

    DrainWatch(Logger log, Runnable stopNewWork, Supplier<List<RunningWork>> running, Consumer<DrainAction> giveUp) {
        this.log = log;
        this.stopNewWork = stopNewWork;
        this.running = running;
        this.giveUp = giveUp;
    }

    /** Begins a stop that may take a limited time. Later signs change nothing. */
    void begin(DrainReason sign, long limitMillis) {
        if (controller == null) {
            log.info("The process drains: {}; running responses may take {} ms.", sign, limitMillis);
            controller = new DrainController(limitMillis);
            isDraining = true;
            controller.leaving(sign, ControlLoop.now());
            stopNewWork.run();
        }
    }

    void tick(int unacknowledged) {
        if (controller == null || isOver) {
            return;
        }
        for (DrainAction action : controller.progress(running.get(), unacknowledged, ControlLoop.now())) {
            if (action instanceof DrainAction.Exit exit) {
                log.info("The process is drained; every response was {}.", exit.isComplete() ? "complete" : "ended");
                isOver = true;
            } else {
                giveUp.accept(action);
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
