package io.hornbeamscale.gateway;

import io.hornbeamscale.core.stream.SilentContinuation;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.xnio.XnioExecutor;

/**
 * Finds out whether a server that was asked to continue a stream runs it without a response, while the first server
 * still runs it as well. All methods run on the traffic thread.
 */
final class HandOverCheck {
    /** One order and a repeated one; more could only find a server that leaves two orders unanswered. */
    private static final int MAX_ORDERS_WITHOUT_RESULT = 2;

    private final TrafficState traffic;
    private final StopOrder order;
    private final BooleanSupplier isOpen;
    private final Predicate<Boolean> onResult;
    private final SilentContinuation continuation;
    private XnioExecutor.Key timer;
    private int ordersWithoutResult;

    /**
     * Creates a check that has not begun.
     *
     * @param order the order to the second server to stop the run
     * @param isOpen returns whether the second server has not responded and the first one still runs the stream
     * @param onResult receives for each order whether the second server had begun, and so was stopped; returns whether
     *     the check goes on
     * @param nowMillis when the second server was asked
     */
    HandOverCheck(
            TrafficState traffic,
            StopOrder order,
            BooleanSupplier isOpen,
            Predicate<Boolean> onResult,
            long nowMillis) {
        this.traffic = traffic;
        this.order = order;
        this.isOpen = isOpen;
        this.onResult = onResult;
        this.continuation = new SilentContinuation(nowMillis);
    }

    /** Schedules the next order. */
    void proceed() {
        if (timer != null) {
            timer.remove();
        }
        long delay = continuation.orderDelayMillis(ControlLoop.now());
        timer = traffic.thread().executeAfter(this::order, delay, TimeUnit.MILLISECONDS);
    }

    /** Returns whether an order is under way, so that the second server may be about to stop the run. */
    boolean isOrdered() {
        return ordersWithoutResult > 0;
    }

    private void order() {
        if (!isOpen.getAsBoolean()) {
            return;
        }
        continuation.ordered(ControlLoop.now());
        proceed();
        if (ordersWithoutResult >= MAX_ORDERS_WITHOUT_RESULT) {
            return;
        }
        ordersWithoutResult++;
        order.send(reply -> {
            ordersWithoutResult--;
            boolean hadBegun = continuation.hadBegun(reply, ControlLoop.now());
            if (onResult.test(hadBegun)) {
                proceed();
            }
        });
    }
}
