package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Keeps requests that crash engines from running again. The requests in flight at a crash become suspects; a suspect
 * that is in flight at a second crash is quarantined, and the other suspects are cleared. Content that different
 * requests share is quarantined after several crashes without a success in between, see {@link ContentSuspectTable}.
 * Quarantined requests and content are sent to all entries at once and kept in the store; suspects are sent only. Every
 * method returns the actions to carry out, never null. Not safe for use by several threads.
 */
public final class QuarantineController {
    /** The store key of the quarantined requests. */
    static final String STORE_KEY = "quarantine";

    /** The time between two reads of the quarantined requests, in milliseconds. */
    static final long READ_MILLIS = 60_000;

    /**
     * The time range over which the entries spread the write of a quarantined request, so that most find it written.
     */
    static final long WRITE_SPREAD_MILLIS = 2_000;

    private static final long RETRY_MILLIS = 1_000;

    private final long quarantineMillis;
    private final long epochOffsetMillis;
    private final RandomGenerator random;
    private final SuspectTable suspectTable = new SuspectTable();
    private final ContentSuspectTable contentTable = new ContentSuspectTable();
    private final QuarantineTable quarantineTable = new QuarantineTable();
    private Map<RequestFingerprint, QuarantinedRequest> pendingWrite = Map.of();
    private StoreCall pendingCall;
    private long nextReadMillis = Long.MIN_VALUE;

    /**
     * Creates a controller that reads the quarantined requests with its first {@link #tick}.
     *
     * @param quarantineMillis how long a quarantined request is refused, in milliseconds, greater than 0
     * @param epochOffsetMillis the difference between the time since the epoch and the clock of the process, in
     *     milliseconds
     * @param random the source of random write and retry delays, not null
     */
    public QuarantineController(long quarantineMillis, long epochOffsetMillis, RandomGenerator random) {
        this.quarantineMillis = Arguments.positive(quarantineMillis, "quarantineMillis");
        this.epochOffsetMillis = epochOffsetMillis;
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Returns whether nothing is quarantined or suspected.
     *
     * @return whether every request is clear
     */
    public boolean isIdle() {
        return quarantineTable.all().isEmpty() && suspectTable.isEmpty() && contentTable.isEmpty();
    }

    /**
     * Returns the quarantine status of a request or of content.
     *
     * @param fingerprint the fingerprint of the request or content, not null
     * @param nowMillis the present time
     * @return the status, never null
     */
    public QuarantineStatus check(RequestFingerprint fingerprint, long nowMillis) {
        Arguments.notNull(fingerprint, "fingerprint");
        if (quarantineTable.contains(fingerprint, nowMillis + epochOffsetMillis)) {
            return QuarantineStatus.QUARANTINED;
        }
        return suspectTable.isSuspect(fingerprint, nowMillis) ? QuarantineStatus.SUSPECT : QuarantineStatus.CLEAR;
    }

    /**
     * Handles a crash report of an agent. Repeated reports do not count again.
     *
     * @param report the report, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> crashed(CrashReport report, long nowMillis) {
        return apply(
                new QuarantineUpdate(List.of(Arguments.notNull(report, "report")), List.of(), List.of(), List.of()),
                true,
                nowMillis);
    }

    /**
     * Handles a crash with the content of the requests in flight. Reports of the same crash add up.
     *
     * @param report the report, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> contentCrashed(ContentCrashReport report, long nowMillis) {
        return apply(
                new QuarantineUpdate(List.of(), List.of(), List.of(), List.of(Arguments.notNull(report, "report"))),
                true,
                nowMillis);
    }

    /**
     * Records that an engine has responded to content without a crash, so that the content is no longer suspected.
     *
     * @param content the content, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> contentSucceeded(Collection<RequestFingerprint> content, long nowMillis) {
        List<RequestFingerprint> cleared = new ArrayList<>();
        for (RequestFingerprint each : content) {
            if (contentTable.succeeded(each, quarantineTable.all(), nowMillis)) {
                cleared.add(each);
            }
        }
        return cleared.isEmpty() ? List.of() : List.of(sendCleared(cleared));
    }

    /**
     * Records that a request completed without a crash, so that it is no longer a suspect.
     *
     * @param fingerprint the fingerprint of the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> completed(RequestFingerprint fingerprint, long nowMillis) {
        if (!suspectTable.clear(fingerprint)) {
            return List.of();
        }
        return List.of(sendCleared(List.of(fingerprint)));
    }

    /**
     * Handles an update of another entry.
     *
     * @param update the update, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> peerReported(QuarantineUpdate update, long nowMillis) {
        Arguments.notNull(update, "update");
        return apply(update, false, nowMillis);
    }

    /**
     * Handles a reply of the store. A reply to any call but the pending one is ignored.
     *
     * @param call the answered call, not null
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
     * Records that the store was restored from an older copy, so that quarantined requests may be missing there. They
     * are read, and written if they are missing, after a random time. The reply to a pending call is ignored.
     *
     * @param nowMillis the present time
     */
    public void storeRestored(long nowMillis) {
        quarantineTable.markNotStored();
        pendingCall = null;
        if (!quarantineTable.isStored()) {
            nextReadMillis = Math.min(nextReadMillis, nowMillis + random.nextLong(WRITE_SPREAD_MILLIS));
        }
    }

    /**
     * Drops expired requests, and reads the quarantined requests regularly to write those that the store lacks.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<QuarantineAction> tick(long nowMillis) {
        quarantineTable.dropExpired(nowMillis + epochOffsetMillis);
        contentTable.dropOld(nowMillis);
        if (pendingCall != null || nowMillis < nextReadMillis) {
            return List.of();
        }
        return List.of(call(new StoreCall.Get(STORE_KEY)));
    }

    private List<QuarantineAction> apply(QuarantineUpdate update, boolean isOwn, long nowMillis) {
        List<QuarantineAction> actions = new ArrayList<>();
        List<QuarantinedRequest> added = new ArrayList<>();
        for (QuarantinedRequest request : update.quarantined()) {
            quarantine(request, actions, nowMillis);
        }
        for (RequestFingerprint fingerprint : update.cleared()) {
            suspectTable.clear(fingerprint);
            contentTable.succeeded(fingerprint, quarantineTable.all(), nowMillis);
        }
        for (CrashReport report : update.reports()) {
            for (RequestFingerprint fingerprint : suspectTable.crashed(report, quarantineTable.all(), nowMillis)) {
                added.add(convict(fingerprint, actions, nowMillis));
            }
        }
        for (ContentCrashReport report : update.contentReports()) {
            contentTable
                    .crashed(report, quarantineTable.all(), nowMillis)
                    .ifPresent(content -> added.add(convict(content, actions, nowMillis)));
        }
        if (isOwn || !added.isEmpty()) {
            actions.add(new QuarantineAction.SendPeers(new QuarantineUpdate(
                    isOwn ? update.reports() : List.of(),
                    List.of(),
                    added,
                    isOwn ? update.contentReports() : List.of())));
        }
        return actions;
    }

    private QuarantinedRequest convict(RequestFingerprint fingerprint, List<QuarantineAction> actions, long nowMillis) {
        QuarantinedRequest request =
                new QuarantinedRequest(fingerprint, nowMillis + epochOffsetMillis + quarantineMillis);
        quarantine(request, actions, nowMillis);
        return request;
    }

    private static QuarantineAction sendCleared(List<RequestFingerprint> cleared) {
        return new QuarantineAction.SendPeers(new QuarantineUpdate(List.of(), cleared, List.of(), List.of()));
    }

    private void quarantine(QuarantinedRequest request, List<QuarantineAction> actions, long nowMillis) {
        if (!quarantineTable.add(request, nowMillis + epochOffsetMillis)) {
            return;
        }
        suspectTable.quarantined(request.fingerprint());
        actions.add(new QuarantineAction.Refuse(request.fingerprint()));
        nextReadMillis = Math.min(nextReadMillis, nowMillis + random.nextLong(WRITE_SPREAD_MILLIS));
    }

    private void merge(
            Map<RequestFingerprint, QuarantinedRequest> found,
            long revision,
            List<QuarantineAction> actions,
            long nowMillis) {
        for (QuarantinedRequest request : found.values()) {
            quarantine(request, actions, nowMillis);
        }
        // What was stored at an earlier read may have been lost or overwritten since.
        quarantineTable.markNotStored();
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
