package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Keeps a request that crashes engines from running again. The requests in flight at a crash become suspects; the one
 * that is in flight at a second crash is convicted, and the others are cleared. Convictions are told to all entries at
 * once and kept in the store; suspicions are told only. Every method returns the actions to carry out, never null. Not
 * safe for use by several threads.
 */
public final class QuarantineController {
    /** The store key of the convictions. */
    static final String STORE_KEY = "quarantine";

    /** The time between two reads of the convictions, in milliseconds. */
    static final long READ_MILLIS = 60_000;

    /** The span over which the entries spread the write of a conviction, so that most find it written. */
    static final long WRITE_SPREAD_MILLIS = 2_000;

    private static final long RETRY_MILLIS = 1_000;

    private final long quarantineMillis;
    private final long epochOffsetMillis;
    private final RandomGenerator random;
    private final SuspectTable suspectTable = new SuspectTable();
    private final QuarantineTable quarantineTable = new QuarantineTable();
    private Map<RequestFingerprint, QuarantinedRequest> pendingWrite = Map.of();
    private StoreCall pendingCall;
    private long nextReadMillis = Long.MIN_VALUE;

    /**
     * Creates a controller that reads the convictions with its first {@link #tick}.
     *
     * @param convictionMillis how long a convicted request is refused, in milliseconds
     * @param epochOffsetMillis what to add to the process's clock to get milliseconds since the epoch
     * @param random the source of the spread of writes, not null
     */
    public QuarantineController(long convictionMillis, long epochOffsetMillis, RandomGenerator random) {
        this.quarantineMillis = Arguments.positive(convictionMillis, "convictionMillis");
        this.epochOffsetMillis = epochOffsetMillis;
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Returns what is known about a request.
     *
     * @param fingerprint the request, not null
     * @param nowMillis the present time
     * @return the verdict, never null
     */
    public QuarantineStatus check(RequestFingerprint fingerprint, long nowMillis) {
        Arguments.notNull(fingerprint, "fingerprint");
        if (quarantineTable.contains(fingerprint, nowMillis + epochOffsetMillis)) {
            return QuarantineStatus.QUARANTINED;
        }
        return suspectTable.isSuspect(fingerprint, nowMillis) ? QuarantineStatus.SUSPECT : QuarantineStatus.CLEAR;
    }

    /**
     * Handles a crash report of an agent. Reports may be repeated.
     *
     * @param report the report, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> crashed(CrashReport report, long nowMillis) {
        return apply(List.of(Arguments.notNull(report, "report")), List.of(), List.of(), true, nowMillis);
    }

    /**
     * Notes that a request completed, which clears it.
     *
     * @param fingerprint the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> completed(RequestFingerprint fingerprint, long nowMillis) {
        if (!suspectTable.clear(fingerprint)) {
            return List.of();
        }
        return List.of(
                new QuarantineAction.SendPeers(new QuarantineUpdate(List.of(), List.of(fingerprint), List.of())));
    }

    /**
     * Handles news of another entry.
     *
     * @param news the news, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> peerReported(QuarantineUpdate news, long nowMillis) {
        Arguments.notNull(news, "news");
        return apply(news.reports(), news.cleared(), news.quarantined(), false, nowMillis);
    }

    /**
     * Handles a reply of the store.
     *
     * @param call the call that was replied to, not null
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        if (!call.equals(pendingCall)) {
            return List.of();
        }
        pendingCall = null;
        List<QuarantineAction> actions = new ArrayList<>();
        if (reply instanceof StoreReply.Found found) {
            merge(QuarantineTable.decode(found.value()), found.revision(), actions, nowMillis);
        } else if (reply instanceof StoreReply.Missing) {
            merge(Map.of(), 0, actions, nowMillis);
        } else if (reply instanceof StoreReply.Swapped) {
            quarantineTable.markStored(pendingWrite);
            scheduleRead(nowMillis);
        } else {
            nextReadMillis = nowMillis + RETRY_MILLIS / 2 + random.nextLong(RETRY_MILLIS);
        }
        return actions;
    }

    /**
     * Reads the convictions regularly and writes those that the store lacks.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> tick(long nowMillis) {
        quarantineTable.dropExpired(nowMillis + epochOffsetMillis);
        if (pendingCall != null || nowMillis < nextReadMillis) {
            return List.of();
        }
        return List.of(call(new StoreCall.Get(STORE_KEY)));
    }

    private List<QuarantineAction> apply(
            List<CrashReport> reports,
            List<RequestFingerprint> cleared,
            List<QuarantinedRequest> told,
            boolean isFirstHand,
            long nowMillis) {
        List<QuarantineAction> actions = new ArrayList<>();
        List<QuarantinedRequest> added = new ArrayList<>();
        for (QuarantinedRequest conviction : told) {
            quarantine(conviction, actions, nowMillis);
        }
        cleared.forEach(suspectTable::clear);
        for (CrashReport report : reports) {
            for (RequestFingerprint fingerprint : suspectTable.crashed(report, quarantineTable.all(), nowMillis)) {
                QuarantinedRequest conviction =
                        new QuarantinedRequest(fingerprint, nowMillis + epochOffsetMillis + quarantineMillis);
                quarantine(conviction, actions, nowMillis);
                added.add(conviction);
            }
        }
        if (isFirstHand || !added.isEmpty()) {
            actions.add(new QuarantineAction.SendPeers(
                    new QuarantineUpdate(isFirstHand ? reports : List.of(), List.of(), added)));
        }
        return actions;
    }

    private void quarantine(QuarantinedRequest conviction, List<QuarantineAction> actions, long nowMillis) {
        if (!quarantineTable.add(conviction, nowMillis + epochOffsetMillis)) {
            return;
        }
        suspectTable.quarantined(conviction.fingerprint());
        actions.add(new QuarantineAction.Refuse(conviction.fingerprint()));
        nextReadMillis = Math.min(nextReadMillis, nowMillis + random.nextLong(WRITE_SPREAD_MILLIS));
    }

    private void merge(
            Map<RequestFingerprint, QuarantinedRequest> found,
            long revision,
            List<QuarantineAction> actions,
            long nowMillis) {
        for (QuarantinedRequest conviction : found.values()) {
            quarantine(conviction, actions, nowMillis);
        }
        quarantineTable.markStored(found);
        scheduleRead(nowMillis);
        if (quarantineTable.isStored()) {
            return;
        }
        pendingWrite = quarantineTable.snapshot();
        actions.add(call(new StoreCall.CompareAndSwap(STORE_KEY, revision, QuarantineTable.encode(pendingWrite))));
    }

    private void scheduleRead(long nowMillis) {
        nextReadMillis = nowMillis + (quarantineTable.isStored() ? READ_MILLIS : RETRY_MILLIS);
    }

    private QuarantineAction call(StoreCall call) {
        pendingCall = call;
        return new QuarantineAction.CallStore(call);
    }
}
