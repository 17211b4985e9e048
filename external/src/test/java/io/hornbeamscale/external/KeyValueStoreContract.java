package io.hornbeamscale.external;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a store client, or a fake of it, that overwrites a newer value, reports a write of unknown outcome as
 * failed or done, or grants one lease to two owners.
 */
public abstract class KeyValueStoreContract {
    /** Faults that an implementation of the contract must be able to inject. */
    public enum StoreFault {
        /** No fault. */
        NONE,
        /** No call gets a reply until the fault is cleared. */
        OUTAGE,
        /** The next response is lost after the call took effect. */
        LOST_RESPONSE,
        /** The next read returns the value before the current one. */
        OLDER_VALUE,
        /** The next call is slow but within its timeout. */
        SLOW
    }

    protected abstract KeyValueStore store();

    protected abstract void arm(StoreFault fault);

    protected abstract void clear();

    protected abstract void advance(long millis) throws InterruptedException;

    static Stream<Arguments> faults() {
        Class<StoreReply.NoAnswer> none = StoreReply.NoAnswer.class;
        StoreCall get = new StoreCall.Get("k");
        StoreCall swap = new StoreCall.CompareAndSwap("k", 2, "c");
        StoreCall stale = new StoreCall.CompareAndSwap("k", 1, "c");
        StoreCall acquire = new StoreCall.AcquireLease("l", "me", 60_000);
        return Stream.of(
                Arguments.of(StoreFault.NONE, get, StoreReply.Found.class, "b"),
                Arguments.of(StoreFault.NONE, swap, StoreReply.Swapped.class, "c"),
                Arguments.of(StoreFault.NONE, stale, StoreReply.Conflict.class, "b"),
                Arguments.of(StoreFault.OUTAGE, get, none, "b"),
                Arguments.of(StoreFault.OUTAGE, swap, none, "b"),
                Arguments.of(StoreFault.OUTAGE, acquire, none, "b"),
                Arguments.of(StoreFault.LOST_RESPONSE, get, StoreReply.Found.class, "b"),
                Arguments.of(StoreFault.LOST_RESPONSE, swap, none, "c"),
                Arguments.of(StoreFault.LOST_RESPONSE, stale, none, "b"),
                Arguments.of(StoreFault.LOST_RESPONSE, acquire, StoreReply.Leased.class, "b"),
                Arguments.of(StoreFault.SLOW, swap, StoreReply.Swapped.class, "c"));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void repliesAndEffectMatchTheFault(StoreFault fault, StoreCall call, Class<?> reply, String after)
            throws Exception {
        write("a", "b");
        arm(fault);
        assertInstanceOf(reply, run(call));
        clear();
        assertEquals(
                after,
                assertInstanceOf(StoreReply.Found.class, run(new StoreCall.Get("k")))
                        .value());
    }

    @Test
    void anOlderValueHasItsOwnRevision() throws Exception {
        write("a", "b");
        arm(StoreFault.OLDER_VALUE);
        assertEquals(new StoreReply.Found("k", 1, "a"), run(new StoreCall.Get("k")));
        assertEquals(new StoreReply.Found("k", 2, "b"), run(new StoreCall.Get("k")));
    }

    @Test
    void anAbsentKeyIsMissingAndCanBeCreatedOnce() throws Exception {
        assertEquals(new StoreReply.Missing("k"), run(new StoreCall.Get("k")));
        assertEquals(new StoreReply.Swapped("k", 1), run(new StoreCall.CompareAndSwap("k", 0, "a")));
        assertEquals(new StoreReply.Conflict("k", 1), run(new StoreCall.CompareAndSwap("k", 0, "b")));
    }

    @Test
    void aValueAboveTheLimitIsRejected() {
        String value = "x".repeat(KeyValueStore.MAX_VALUE_BYTES + 1);
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> run(new StoreCall.CompareAndSwap("k", 0, value)));
        assertEquals(
                ErrorKind.PAYLOAD_TOO_LARGE,
                assertInstanceOf(ServingException.class, failure.getCause()).kind());
    }

    @Test
    void aLeaseHasOneOwnerAndANewOwnerGetsAHigherFence() throws Exception {
        assertEquals(1, fence(new StoreCall.AcquireLease("l", "a", 60_000)));
        assertEquals(1, fence(new StoreCall.AcquireLease("l", "a", 60_000)));
        assertInstanceOf(StoreReply.Conflict.class, run(new StoreCall.AcquireLease("l", "b", 60_000)));
        assertInstanceOf(StoreReply.Conflict.class, run(new StoreCall.ReleaseLease("l", "b")));
        assertInstanceOf(StoreReply.Missing.class, run(new StoreCall.ReleaseLease("l", "a")));
        assertEquals(2, fence(new StoreCall.AcquireLease("l", "b", 60_000)));
    }

    @Test
    void anExpiredLeaseGetsANewFenceEvenForItsOldOwner() throws Exception {
        assertEquals(1, fence(new StoreCall.AcquireLease("l", "a", 20)));
        advance(40);
        assertEquals(2, fence(new StoreCall.AcquireLease("l", "a", 60_000)));
    }

    @Test
    void aWatchReportsTheNextChange() throws Exception {
        write("a");
        CompletionStage<WatchReply> watch = store().watch("k", 1, 20_000);
        run(new StoreCall.CompareAndSwap("k", 1, "b"));
        assertEquals(
                new WatchReply.Changed("k", 2, "b"), watch.toCompletableFuture().get());
        assertEquals(
                new WatchReply.Changed("k", 2, "b"),
                store().watch("k", 1, 20_000).toCompletableFuture().get());
    }

    @Test
    void aWatchEndsUnchangedAfterItsTime() throws Exception {
        CompletionStage<WatchReply> watch = store().watch("k", 0, 20);
        advance(40);
        assertEquals(new WatchReply.Unchanged("k"), watch.toCompletableFuture().get());
    }

    @Test
    void aWatchDuringAnOutageGetsNoAnswer() throws Exception {
        arm(StoreFault.OUTAGE);
        assertTrue(store().watch("k", 0, 20).toCompletableFuture().get() instanceof WatchReply.NoAnswer);
    }

    private long fence(StoreCall call) throws Exception {
        return assertInstanceOf(StoreReply.Leased.class, run(call)).fence();
    }

    private StoreReply run(StoreCall call) throws Exception {
        return store().execute(call).toCompletableFuture().get();
    }

    private void write(String... values) throws Exception {
        for (int i = 0; i < values.length; i++) {
            assertInstanceOf(StoreReply.Swapped.class, run(new StoreCall.CompareAndSwap("k", i, values[i])));
        }
    }
}
