package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Counts the bytes that are held for clients, and decides whose are given up when a fixed number of bytes is nearly
 * used up: those of the clients that have made this process wait for the most byte-milliseconds, so the slowest and
 * largest first. Not safe for use by several threads.
 *
 * @param <T> identifies a client
 */
public final class HeldBytesBudget<T> {
    /** The share of the capacity above which clients are closed; the rest covers what is in use until they are. */
    private static final double HIGH_SHARE = 0.85;

    /** The share of the capacity down to which clients are closed, and above which large bodies are not begun. */
    private static final double LOW_SHARE = 0.7;

    private final long capacityBytes;
    private final Set<Holding> holdings = new HashSet<>();
    private long usedBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param capacityBytes the number of bytes to share, greater than 0
     */
    public HeldBytesBudget(long capacityBytes) {
        this.capacityBytes = Arguments.positive(capacityBytes, "capacityBytes");
    }

    /**
     * Adds a client that holds nothing.
     *
     * @param client the client, not null
     * @return what the client holds, never null; must be released
     */
    public Holding open(T client) {
        Holding holding = new Holding(Arguments.notNull(client, "client"));
        holdings.add(holding);
        return holding;
    }

    /**
     * Returns the number of bytes held for all clients.
     *
     * @return the bytes, at least 0
     */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Selects the clients to close because the budget is nearly used up. Their holdings are released.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the clients, the slowest and largest first, empty if there is room; never null
     */
    public List<T> selectToClose(long nowMillis) {
        return usedBytes > HIGH_SHARE * capacityBytes ? select(nowMillis, 0) : List.of();
    }

    /**
     * Selects the clients to close so that a large body may begin. Their holdings are released.
     *
     * @param minWaitMillis how long a client must have made this process wait to be closed, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the clients, the slowest and largest first, empty if there is room or none is slow enough; never null
     */
    public List<T> selectForLargeBody(long minWaitMillis, long nowMillis) {
        return hasRoomForLargeBody() ? List.of() : select(nowMillis, minWaitMillis);
    }

    /**
     * Returns whether a large body may begin; small ones always may.
     *
     * @return whether at most 70% of the bytes are held
     */
    public boolean hasRoomForLargeBody() {
        return usedBytes <= LOW_SHARE * capacityBytes;
    }

    private List<T> select(long nowMillis, long minWaitMillis) {
        List<Holding> waiting = new ArrayList<>();
        for (Holding each : holdings) {
            if (each.isWaiting && nowMillis - each.waitingSinceMillis >= minWaitMillis) {
                waiting.add(each);
            }
        }
        waiting.sort(Comparator.comparingDouble((Holding each) -> each.cost(nowMillis))
                .reversed());
        List<T> selected = new ArrayList<>();
        for (Holding each : waiting) {
            if (hasRoomForLargeBody()) {
                break;
            }
            selected.add(each.client);
            each.release();
        }
        return selected;
    }

    /** What is held for one client. */
    public final class Holding {
        private final T client;
        private long bytes;
        private boolean isWaiting;
        private long waitingSinceMillis;
        private boolean isReleased;

        private Holding(T client) {
            this.client = client;
        }

        /**
         * Returns the number of bytes held.
         *
         * @return the bytes, at least 0
         */
        public long bytes() {
            return bytes;
        }

        /**
         * Counts bytes as held; ignored after the release.
         *
         * @param count the number of bytes, at least 0
         */
        public void add(long count) {
            Arguments.notNegative(count, "count");
            if (!isReleased) {
                bytes += count;
                usedBytes += count;
            }
        }

        /**
         * Counts bytes as no longer held; ignored after the release.
         *
         * @param count the number of bytes, from 0 to the number held
         */
        public void remove(long count) {
            Arguments.notNegative(count, "count");
            if (isReleased) {
                return;
            }
            if (count > bytes) {
                throw new IllegalArgumentException("count must be at most " + bytes + ": " + count);
            }
            bytes -= count;
            usedBytes -= count;
        }

        /**
         * Marks that this process waits for the client, to send or to read; the client may be closed from now on. Has
         * no effect while it waits already.
         *
         * @param nowMillis the current time, in milliseconds
         */
        public void startWaiting(long nowMillis) {
            if (!isWaiting) {
                isWaiting = true;
                waitingSinceMillis = nowMillis;
            }
        }

        /** Marks that this process does not wait for the client, which must not be closed. */
        public void stopWaiting() {
            isWaiting = false;
        }

        /** Returns all bytes and removes the client; further calls have no effect. */
        public void release() {
            remove(bytes);
            isReleased = true;
            isWaiting = false;
            holdings.remove(this);
        }

        /**
         * Returns whether the bytes were returned.
         *
         * @return whether the client was released or selected to be closed
         */
        public boolean isReleased() {
            return isReleased;
        }

        private double cost(long nowMillis) {
            // A client that has just begun counts for the bytes it holds.
            return (double) bytes * (1 + nowMillis - waitingSinceMillis);
        }
    }
}
