package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Reads audit records and the document, either the version in force or an older one. */
public final class HistoryController implements StoreOperation<HistoryResult> {
    private final long version;
    private final int count;
    private final RetryBackoff backoff;
    private StoreCall lastCall = new StoreCall.Get(PublishedHead.KEY);
    private TrailReader trailReader;

    /**
     * Creates a controller for a single read.
     *
     * @param version the version of the document to read, 0 for the one in force
     * @param count the maximum number of audit records to read, 0 for none
     * @param random the random source for the jitter of retries, not null
     */
    public HistoryController(long version, int count, RandomGenerator random) {
        this.version = Arguments.notNegative(version, "version");
        this.count = (int) Arguments.notNegative(count, "count");
        this.backoff = new RetryBackoff(Arguments.notNull(random, "random"));
    }

    @Override
    public StoreStep<HistoryResult> start(long nowMillis) {
        backoff.start(nowMillis);
        return new StoreStep.Call<>(lastCall, 0);
    }

    @Override
    public StoreStep<HistoryResult> onReply(StoreReply reply, long nowMillis) {
        Arguments.notNull(reply, "reply");
        if (reply instanceof StoreReply.NoAnswer) {
            if (backoff.isExpired(nowMillis)) {
                return failed(ErrorKind.STORE_UNAVAILABLE, "The store does not answer (" + lastCall.key() + ").");
            }
            return new StoreStep.Call<>(lastCall, backoff.nextDelayMillis());
        }
        try {
            return onAnswer(reply);
        } catch (ServingException e) {
            return failed(ErrorKind.INTERNAL, e.getMessage());
        }
    }

    private static StoreStep<HistoryResult> failed(ErrorKind kind, String message) {
        return new StoreStep.Done<>(new HistoryResult.Failed(kind, message));
    }

    private StoreStep<HistoryResult> onAnswer(StoreReply reply) {
        if (trailReader != null) {
            trailReader.onReply(reply);
        } else {
            PublishedHead head = reply instanceof StoreReply.Found found
                    ? PublishedHead.decode(found.value())
                    : PublishedHead.none();
            long lowestVersion = Math.max(1, head.version() - count + 1);
            trailReader = new TrailReader(head, version == 0 ? lowestVersion : Math.min(lowestVersion, version + 1));
        }
        Optional<StoreCall> next = trailReader.nextCall();
        if (next.isPresent()) {
            lastCall = next.get();
            return new StoreStep.Call<>(lastCall, 0);
        }
        PublishedHead head = trailReader.head();
        return new StoreStep.Done<>(new HistoryResult.Read(
                head,
                trailReader.records().stream().limit(count).toList(),
                version == 0 ? Optional.of(head.document()) : trailReader.documentAt(version)));
    }
}
