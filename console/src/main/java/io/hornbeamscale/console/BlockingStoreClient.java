package io.hornbeamscale.console;

import io.hornbeamscale.core.audit.StoreOperation;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.external.KeyValueStore;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs store operations on the calling thread. Must not be used on I/O threads, since it waits for replies. */
public final class BlockingStoreClient {
    // Log filters match this name, so it does not follow the class.
    private static final Logger LOG = LogManager.getLogger("io.hornbeamscale.console.StoreClient");

    // The calls of the store time out earlier; this limit only guards against a call that never completes.
    private static final long MAX_WAIT_MILLIS = 15_000;

    private final KeyValueStore store;

    /**
     * Creates a client.
     *
     * @param store the store, not null
     */
    public BlockingStoreClient(KeyValueStore store) {
        this.store = Arguments.notNull(store, "store");
    }

    /**
     * Runs an operation until it completes.
     *
     * @param <R> the type of the result
     * @param operation the operation, not null
     * @return the result
     */
    public <R> R run(StoreOperation<R> operation) {
        return operation.run(
                this::call, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), BlockingStoreClient::sleep);
    }

    private StoreReply call(StoreCall call) {
        try {
            return store.execute(call).toCompletableFuture().get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("[store] call for {} failed: {}", call.key(), e.toString());
        }
        return new StoreReply.NoAnswer(call.key());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
