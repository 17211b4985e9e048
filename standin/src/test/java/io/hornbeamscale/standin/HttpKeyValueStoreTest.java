package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpKeyValueStore;
import io.hornbeamscale.external.KeyValueStore;
import io.hornbeamscale.external.KeyValueStoreContract;
import io.hornbeamscale.external.PlatformIo;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpKeyValueStoreTest extends KeyValueStoreContract {
    private static final int UNAVAILABLE = 503;

    private final StoreStandIn server = StoreStandIn.builder().build();
    private final PlatformIo io = new PlatformIo(new Random(1));
    private final KeyValueStore store = new HttpKeyValueStore(io, server.start(), new CallPolicy(2_000, 400, 5, 40));

    @AfterEach
    void stop() {
        io.close();
        server.close();
    }

    /** Guards against a call that outlives its budget because the server accepts it and never responds. */
    @Test
    void aStalledCallEndsWithItsBudget() throws Exception {
        server.faults().arm(new StandInFault.Stall(0));
        assertEquals(
                new StoreReply.NoAnswer("k"),
                store.execute(new StoreCall.Get("k")).toCompletableFuture().get());
    }

    /** Guards against a compare-and-swap that is sent again although the first one may have taken effect. */
    @Test
    void aLostSwapIsSentOnce() throws Exception {
        server.faults().arm(new StandInFault.LoseResponse(), 1);
        assertEquals(
                new StoreReply.NoAnswer("k"),
                store.execute(new StoreCall.CompareAndSwap("k", 0, "a"))
                        .toCompletableFuture()
                        .get());
        assertEquals(1, server.calls("cas"));
    }

    /** Guards against a store stand-in that does not enforce its rate limit. */
    @Test
    void callsBeyondTheRateAreThrottled() throws Exception {
        try (StoreStandIn limited = StoreStandIn.builder().readsPerSecond(2).build()) {
            KeyValueStore client = new HttpKeyValueStore(io, limited.start(), new CallPolicy(2_000, 100, 5, 40));
            for (int i = 0; i < 10; i++) {
                client.execute(new StoreCall.Get("k")).toCompletableFuture().get();
            }
            assertTrue(limited.throttledCalls() > 0);
        }
    }

    @Override
    protected KeyValueStore store() {
        return store;
    }

    @Override
    protected void arm(StoreFault fault) {
        switch (fault) {
            case OUTAGE -> server.faults().arm(new StandInFault.Refuse(UNAVAILABLE));
            case LOST_RESPONSE -> server.faults().arm(new StandInFault.LoseResponse(), 1);
            case OLDER_VALUE -> server.faults().arm(new StandInFault.ReturnOlderValue(1), 1);
            case SLOW -> server.faults().arm(new StandInFault.DelayRequest(50), 1);
            default -> {}
        }
    }

    @Override
    protected void clear() {
        server.faults().clear();
    }

    @Override
    protected void advance(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
