package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The results of ended plain calls, which an agent repeats to an entry that lost its connection or asks about a claim.
 * Bounded in time and size; the oldest results are dropped first. Not safe for use by several threads.
 *
 * @param <R> the type of a result, an immutable class
 */
public final class ResultBuffer<R> {
    private final long retainMillis;
    private final long retainBytes;
    private final Map<Key, Held<R>> results = new LinkedHashMap<>();
    private long bytes;

    /**
     * Creates an empty buffer.
     *
     * @param retainMillis how long a result is kept, in milliseconds
     * @param retainBytes the greatest size of all results, in bytes
     */
    public ResultBuffer(long retainMillis, long retainBytes) {
        this.retainMillis = Arguments.notNegative(retainMillis, "retainMillis");
        this.retainBytes = Arguments.notNegative(retainBytes, "retainBytes");
    }

    /**
     * Keeps a result.
     *
     * @param attempt the attempt, not null
     * @param grant the grant that it used, not null
     * @param result the result, not null
     * @param size the size of the result, in bytes
     * @param nowMillis the present time
     */
    public void put(AttemptId attempt, GrantId grant, R result, long size, long nowMillis) {
        Arguments.notNull(result, "result");
        Held<R> old = results.put(new Key(attempt, grant), new Held<>(result, size, nowMillis));
        bytes += size - (old == null ? 0 : old.size());
        tick(nowMillis);
    }

    /**
     * Finds a result.
     *
     * @param attempt the attempt, not null
     * @param grant the grant that it used, not null
     * @return the result, empty if there is none or it was dropped
     */
    public Optional<R> find(AttemptId attempt, GrantId grant) {
        Held<R> held = results.get(new Key(attempt, grant));
        return held == null ? Optional.empty() : Optional.of(held.result());
    }

    /**
     * Drops what has expired or exceeds the size.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        Iterator<Held<R>> oldestFirst = results.values().iterator();
        while (oldestFirst.hasNext()) {
            Held<R> held = oldestFirst.next();
            if (bytes <= retainBytes && nowMillis - held.sinceMillis() < retainMillis) {
                return;
            }
            bytes -= held.size();
            oldestFirst.remove();
        }
    }

    private record Key(AttemptId attempt, GrantId grant) {
        Key {
            Arguments.notNull(attempt, "attempt");
            Arguments.notNull(grant, "grant");
        }
    }

    private record Held<R>(R result, long size, long sinceMillis) {}
}
