package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.util.Arguments;
import java.util.OptionalLong;

/**
 * Decides how the run of a stream at one server is ended after the stream goes on at another server. Most servers end a
 * run when its connection is closed, but not all of them do, so the server is also ordered to stop the run until it
 * confirms that it no longer works on it. Not safe for use by several threads.
 */
public final class RunTermination {
    /**
     * How long a server has to notice that the connection was closed, in milliseconds. An order that arrives before
     * makes the server copy the state of the run once more.
     */
    static final long CLOSE_MILLIS = 50;

    /** The pause before the first repeated order, in milliseconds; it doubles with each further one. */
    static final long MIN_RETRY_PAUSE_MILLIS = 50;

    /** How long orders are repeated, in milliseconds; a server that is not reached for longer has usually ended. */
    static final long LIMIT_MILLIS = 3_000;

    /**
     * The pause between orders to a server that may still begin, in milliseconds; it has worked for less than the
     * allowed 400 ms when it gets the next one.
     */
    static final long BEGIN_CHECK_MILLIS = 200;

    private long limitAtMillis;
    private boolean mayBegin;
    private long pauseMillis = MIN_RETRY_PAUSE_MILLIS;
    private long nextOrderAtMillis;
    private boolean isAwaitingReply;
    private boolean isOver;
    private boolean isConfirmed;

    /**
     * Begins with a run whose connection was closed now.
     *
     * @param nowMillis the present time
     */
    public RunTermination(long nowMillis) {
        this(nowMillis, nowMillis + LIMIT_MILLIS, false);
    }

    private RunTermination(long nowMillis, long limitAtMillis, boolean mayBegin) {
        this.limitAtMillis = limitAtMillis;
        this.mayBegin = mayBegin;
        nextOrderAtMillis = nowMillis + CLOSE_MILLIS;
    }

    /**
     * Returns the termination of a run that may not have begun when its connection was closed now. A server that does
     * not end a run then may begin it any time until its deadline, so it is ordered to stop until then.
     *
     * @param nowMillis the present time
     * @param deadlineMillis the time at which the server gives up the request
     * @return the termination, never null
     */
    public static RunTermination ofUnbegun(long nowMillis, long deadlineMillis) {
        return new RunTermination(nowMillis, deadlineMillis, true);
    }

    /**
     * Returns when the next order to stop is due.
     *
     * @param nowMillis the present time
     * @return the delay in milliseconds, 0 if it is due, empty if no further order follows
     */
    public OptionalLong orderDelayMillis(long nowMillis) {
        return isOver ? OptionalLong.empty() : OptionalLong.of(Math.max(0, nextOrderAtMillis - nowMillis));
    }

    /**
     * Handles an order that is sent now. If it has no result soon, another one follows, as the server may never carry
     * out the first one.
     *
     * @param nowMillis the present time
     */
    public void ordered(long nowMillis) {
        if (isAwaitingReply) {
            pauseMillis = nextPause();
        }
        isAwaitingReply = true;
        schedule(nowMillis + (mayBegin ? pauseMillis : 2 * pauseMillis));
    }

    /**
     * Handles the result of an order.
     *
     * @param reply the result, not null
     * @param nowMillis the present time
     */
    public void replied(Reply reply, long nowMillis) {
        Arguments.notNull(reply, "reply");
        if (isOver) {
            return;
        }
        isAwaitingReply = false;
        isConfirmed = reply == Reply.STOPPED || (reply == Reply.NOT_RUNNING && !mayBegin);
        schedule(nowMillis + pauseMillis);
        pauseMillis = nextPause();
    }

    private long nextPause() {
        long doubled = pauseMillis * 2;
        return mayBegin ? Math.min(doubled, BEGIN_CHECK_MILLIS) : doubled;
    }

    private void schedule(long orderAtMillis) {
        nextOrderAtMillis = orderAtMillis;
        isOver = isConfirmed || orderAtMillis > limitAtMillis;
    }

    /**
     * Returns whether no further order follows.
     *
     * @return whether the run has ended, the time for orders has passed, or the orders were given up
     */
    public boolean isOver() {
        return isOver;
    }

    /** Handles that another order has stopped the run, so that it cannot begin any more. */
    public void stopped() {
        isConfirmed = true;
        isOver = true;
    }

    /**
     * Handles the end of the stream at the other server. A run that still begins then works alone, so a server that
     * does not run it gets no further order.
     *
     * @param nowMillis the present time
     */
    public void streamEnded(long nowMillis) {
        if (mayBegin) {
            mayBegin = false;
            limitAtMillis = Math.min(limitAtMillis, nowMillis + LIMIT_MILLIS);
        }
    }

    /** Gives up, as the stream runs at this server again. */
    public void abandon() {
        isOver = true;
    }

    /**
     * Returns whether the server no longer works on the run.
     *
     * @return whether it has confirmed this
     */
    public boolean isConfirmed() {
        return isConfirmed;
    }

    /** The result of an order to stop. */
    public enum Reply {
        /** The server has stopped the run. */
        STOPPED,
        /** The server does not run the request. */
        NOT_RUNNING,
        /** The server has not carried out the order. */
        REFUSED,
        /** No response arrived, so the server may still work on the run. */
        NO_RESPONSE;

        /**
         * Returns whether the server does not work on the run now.
         *
         * @return whether the result says so
         */
        public boolean isConfirmation() {
            return this == STOPPED || this == NOT_RUNNING;
        }
    }
}
