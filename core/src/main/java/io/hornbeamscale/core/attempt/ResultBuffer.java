package io.hornbeamscale.core.attempt;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the results of ended plain calls, so that an agent can repeat them to an entry that lost its connection or asks
 * about a claim. Limited in time and size; the oldest results are dropped first. Not safe for use by several threads.
 *
 * @param <R> the type of a result, an immutable class
 */
public final class ResultBuffer<R> {
    private final long retainMillis;
    private final long retainBytes;
    private final Map<Key, StoredResult<R>> results = new LinkedHashMap<>();
    private long bytes;

    /**
     * Creates an empty buffer.
     *
     * @param retainMillis how long a result is kept, in milliseconds
     * @param retainBytes the maximum total size of the results, in bytes
     */
    public ResultBuffer(long retainMillis, long retainBytes) {
        this.retainMillis = Arguments.notNegative(retainMillis, "retainMillis");
        this.retainBytes = Arguments.notNegative(retainBytes, "retainBytes");
    }

    /**
     * Stores a result, replacing an earlier one of the same attempt and grant.
     *
     * @param attempt the attempt, not null
     * @param grant the grant that it used, not null
     * @param result the result, not null
     * @param size the size of the result, in bytes
     * @param nowMillis the present time
     */
    public void put(AttemptId attempt, GrantId grant, R result, long size, long nowMillis) {
        Arguments.notNull(result, "result");
        StoredResult<R> old = results.put(new Key(attempt, grant), new StoredResult<>(result, size, nowMillis));
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
        StoredResult<R> stored = results.get(new Key(attempt, grant));
        return stored == null ? Optional.empty() : Optional.of(stored.result());
    }

    /**
     * Drops results that have expired or exceed the size limit, oldest first.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        Iterator<StoredResult<R>> oldestFirst = results.values().iterator();
        while (oldestFirst.hasNext()) {
            StoredResult<R> stored = oldestFirst.next();
            if (bytes <= retainBytes && nowMillis - stored.storedMillis() < retainMillis) {
                return;
            }
            bytes -= stored.size();
            oldestFirst.remove();
        }
    }

    private record Key(AttemptId attempt, GrantId grant) {
        Key {
            Arguments.notNull(attempt, "attempt");
            Arguments.notNull(grant, "grant");
        }
    }

    private record StoredResult<R>(R result, long size, long storedMillis) {}
}
