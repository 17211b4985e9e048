package io.hornbeamscale.external;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against a client that reports a throttled call as missing weights, or the reverse. */
public abstract class WeightStoreContract {
    /** The number of calls that the store under test allows at once. */
    protected static final int BURST = 2;

    protected abstract WeightStore store();

    protected abstract void put(String name, String version, long sizeBytes);

    protected abstract void setDown(boolean isDown);

    @Test
    void distinguishesAvailableUnknownAndThrottled() throws Exception {
        put("m", "v1", 7);
        assertEquals(new WeightReply.Available(7), find("m", "v1"));
        assertEquals(new WeightReply.Unknown(), find("m", "v2"));
        assertEquals(new WeightReply.Throttled(1_000), find("m", "v1"));
    }

    @Test
    void anOutageIsNotAMissingVersion() throws Exception {
        put("m", "v1", 7);
        setDown(true);
        assertEquals(new WeightReply.NoAnswer(), find("m", "v1"));
    }

    private WeightReply find(String name, String version) throws Exception {
        return store().find(name, version).toCompletableFuture().get();
    }
}
