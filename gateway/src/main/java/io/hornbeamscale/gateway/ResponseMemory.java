package io.hornbeamscale.gateway;

import io.hornbeamscale.core.limit.HeldBytesBudget;
import java.util.List;

/**
 * Bounds what is held of the incomplete responses of all servers together. A faulty server may answer each of many
 * requests with bytes that never end, so a limit for a single response leaves the process without memory for the
 * requests of other callers. When nearly all of it is in use, the responses that are the largest and have taken the
 * longest are given up. All methods run on the traffic thread.
 */
final class ResponseMemory {
    /** The share of the heap for incomplete responses; a buffer takes up to twice the bytes that it holds. */
    private static final int HEAP_DIVISOR = 10;

    private final HeldBytesBudget<Runnable> budget;

    /** Creates a memory of which nothing is used, for a heap of a number of bytes. */
    ResponseMemory(long heapBytes) {
        budget = new HeldBytesBudget<>(Math.max(1, heapBytes / HEAP_DIVISOR));
    }

    /**
     * Adds a response that holds nothing.
     *
     * @param giveUp ends the response because too much is held; may be called from {@link Held#set} of any response
     */
    Held open(Runnable giveUp, long nowMillis) {
        HeldBytesBudget<Runnable>.Holding holding = budget.open(giveUp);
        holding.startWaiting(nowMillis);
        return new Held(holding);
    }

    /** What is held of one response. */
    final class Held {
        private final HeldBytesBudget<Runnable>.Holding holding;

        private Held(HeldBytesBudget<Runnable>.Holding holding) {
            this.holding = holding;
        }

        /** Sets the number of bytes that are held, and gives up responses if too much is held by now. */
        void set(long bytes, long nowMillis) {
            if (holding.isReleased()) {
                return;
            }
            holding.remove(holding.bytes());
            holding.add(bytes);
            List<Runnable> selected = budget.selectToClose(nowMillis);
            selected.forEach(Runnable::run);
        }

        /** Ends the counting; further calls have no effect. */
        void release() {
            if (!holding.isReleased()) {
                holding.release();
            }
        }
    }
}
