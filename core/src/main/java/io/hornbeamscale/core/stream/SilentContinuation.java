package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.util.Arguments;

/**
 * Decides when a server that was asked to continue a stream, and has not responded, is ordered to stop it. Its response
 * may be lost or late, so it may work on the stream together with the first server. The order finds out: a server that
 * has not begun does not know the run, and may still begin later. Not safe for use by several threads.
 */
public final class SilentContinuation {
    /**
     * When the first order is due, in milliseconds after the server was asked. Most servers have responded by then, and
     * one that began at once has worked together with the first server for less than the allowed 400 ms.
     */
    static final long FIRST_ORDER_MILLIS = 250;

    /** The pause after a result, in milliseconds. A server that begins in between is found before the same limit. */
    static final long ORDER_INTERVAL_MILLIS = 150;

    /**
     * How long an order may have no result before the next one, in milliseconds. Two fit into the same limit, and a
     * result from another region takes about 120 ms.
     */
    static final long RESULT_MILLIS = 130;

    private long nextOrderAtMillis;

    /**
     * Begins with a server that was asked now.
     *
     * @param nowMillis the present time
     */
    public SilentContinuation(long nowMillis) {
        nextOrderAtMillis = nowMillis + FIRST_ORDER_MILLIS;
    }

    /**
     * Returns when the next order is due.
     *
     * @param nowMillis the present time
     * @return the delay in milliseconds, 0 if it is due
     */
    public long orderDelayMillis(long nowMillis) {
        return Math.max(0, nextOrderAtMillis - nowMillis);
    }

    /**
     * Handles an order that is sent now. If it has no result soon, another one follows.
     *
     * @param nowMillis the present time
     */
    public void ordered(long nowMillis) {
        nextOrderAtMillis = nowMillis + RESULT_MILLIS;
    }

    /**
     * Handles the result of an order.
     *
     * @param reply the result, not null
     * @param nowMillis the present time
     * @return whether the server had begun to continue the stream; it has stopped
     */
    public boolean hadBegun(RunTermination.Reply reply, long nowMillis) {
        nextOrderAtMillis = nowMillis + ORDER_INTERVAL_MILLIS;
        return Arguments.notNull(reply, "reply") == RunTermination.Reply.STOPPED;
    }
}
