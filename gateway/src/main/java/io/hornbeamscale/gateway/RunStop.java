package io.hornbeamscale.gateway;

import io.hornbeamscale.core.stream.RunTermination;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.xnio.XnioExecutor;

/**
 * Makes a server stop a run whose stream goes on at another server, also after the stream has ended there. All methods
 * run on the traffic thread.
 */
final class RunStop {
    private final TrafficState traffic;
    private final StopOrder order;
    private final BooleanSupplier isBack;
    private final BooleanSupplier hasStreamEnded;
    private final RunTermination termination;
    private Runnable onOver = () -> {};
    private XnioExecutor.Key timer;

    /**
     * Creates a stop that has not begun. The connection of the run must be closed already.
     *
     * @param order the order to the server
     * @param isBack returns whether the stream runs at the first server again
     * @param hasStreamEnded returns whether the stream has ended
     * @param termination decides when orders are sent
     */
    RunStop(
            TrafficState traffic,
            StopOrder order,
            BooleanSupplier isBack,
            BooleanSupplier hasStreamEnded,
            RunTermination termination) {
        this.traffic = traffic;
        this.order = order;
        this.isBack = isBack;
        this.hasStreamEnded = hasStreamEnded;
        this.termination = termination;
    }

    /** Sets what is done once no further order follows. */
    void setOnOver(Runnable task) {
        onOver = task;
    }

    /** Handles that another order has stopped the run. */
    void stopped() {
        termination.stopped();
        proceed();
    }

    /** Schedules the first order, or the next one. */
    void proceed() {
        if (timer != null) {
            timer.remove();
        }
        if (termination.isOver()) {
            onOver.run();
            return;
        }
        termination
                .orderDelayMillis(ControlLoop.now())
                .ifPresent(delay -> timer = traffic.thread().executeAfter(this::order, delay, TimeUnit.MILLISECONDS));
    }

    private void order() {
        if (isBack.getAsBoolean()) {
            // An order would stop the new run, which has the same id.
            termination.abandon();
            return;
        }
        if (hasStreamEnded.getAsBoolean()) {
            termination.streamEnded(ControlLoop.now());
        }
        termination.ordered(ControlLoop.now());
        proceed();
        order.send(reply -> {
            termination.replied(reply, ControlLoop.now());
            proceed();
        });
    }
}
