package io.hornbeamscale.external;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An in-memory weight store. */
public final class FakeWeightStore implements WeightStore {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Map<String, Long> sizes = new HashMap<>();
    private int remainingCalls;
    private boolean isDown;

    /**
     * Creates a store.
     *
     * @param remainingCalls how many calls are allowed before the rate limit applies
     */
    public FakeWeightStore(int remainingCalls) {
        this.remainingCalls = remainingCalls;
    }

    /**
     * Adds weights.
     *
     * @param name the model or adapter
     * @param version the version
     * @param sizeBytes the size, in bytes
     */
    public void put(String name, String version, long sizeBytes) {
        sizes.put(name + "/" + version, sizeBytes);
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether calls get no reply
     */
    public void setDown(boolean isDown) {
        this.isDown = isDown;
    }

    @Override
    public CompletionStage<WeightReply> find(String name, String version) {
        return CompletableFuture.completedFuture(reply(name + "/" + version));
    }

    private WeightReply reply(String key) {
        if (isDown) {
            return new WeightReply.NoAnswer();
        }
        if (remainingCalls == 0) {
            return new WeightReply.Throttled(RETRY_AFTER_MILLIS);
        }
        remainingCalls--;
        Long size = sizes.get(key);
        return size == null ? new WeightReply.Unknown() : new WeightReply.Available(size);
    }
}
