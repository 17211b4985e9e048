package io.hornbeamscale.daemon;

import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.quarantine.ContentCrashReport;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineAction;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineStatus;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.work.WorkItem;
import io.hornbeamscale.wire.QuarantineCodec;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.QuarantineMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Refuses requests that are quarantined because they crash engines, and shares quarantine updates with the other
 * entries. Used on the control thread.
 */
final class QuarantineGate {
    /**
     * How long the tokens of a generation arrive before it no longer counts as just begun, in milliseconds; an engine
     * that crashes on a prompt does so with its first tokens.
     */
    private static final long BEGINNING_MILLIS = 250;

    /** The number of crashes that are remembered, since each status repeats the recent ones. */
    private static final int MAX_SEEN_CRASHES = 512;

    private final QuarantineController controller;
    private final Host host;
    private final Map<RequestId, AdmittedRequest> admitted = new HashMap<>();
    private final Set<String> seenCrashes = new LinkedHashSet<>();

    QuarantineGate(QuarantineController controller, Host host) {
        this.controller = controller;
        this.host = host;
    }

    /** Returns whether a request may run; if so, keeps its fingerprints in case it is quarantined while it is open. */
    boolean tryAdmit(EntryRequest request, long nowMillis) {
        if (request.work().isPlain()) {
            return true;
        }
        RequestFingerprint fingerprint = RequestFingerprint.of(
                request.work().customer(), request.call().body().bytes());
        if (isQuarantined(fingerprint, nowMillis)
                || request.content().stream().anyMatch(content -> isQuarantined(content, nowMillis))) {
            return false;
        }
        admitted.put(request.work().request(), new AdmittedRequest(fingerprint, request.content()));
        return true;
    }

    /** Returns the work, marked as suspect if its request was in flight at a crash and has not completed since. */
    WorkItem markSuspect(WorkItem work, long nowMillis) {
        AdmittedRequest request = admitted.get(work.request());
        boolean isSuspect =
                request != null && controller.check(request.fingerprint, nowMillis) != QuarantineStatus.CLEAR;
        return isSuspect ? work.asSuspect() : work;
    }

    /** Handles tokens of a request; once they have arrived for a while, its content is cleared of suspicion. */
    void tokensReceived(RequestId id, long nowMillis) {
        AdmittedRequest request = admitted.get(id);
        if (request != null && request.tokensReceived(nowMillis)) {
            carryOut(controller.contentSucceeded(request.content, nowMillis));
        }
    }

    /** Handles the complete response of a request, which clears it and its content of suspicion. */
    void completed(RequestId id, long nowMillis) {
        AdmittedRequest request = admitted.remove(id);
        if (request != null) {
            carryOut(controller.completed(request.fingerprint, nowMillis));
            carryOut(controller.contentSucceeded(request.content, nowMillis));
        }
    }

    /** Handles the crashes that an agent reports in its status. */
    void crashesReported(List<String> suspects, long nowMillis) {
        for (CrashReport report : CrashTracker.decode(suspects)) {
            carryOut(controller.crashed(report, nowMillis));
            if (isFirstReport(report.crashId())) {
                reportContent(report, nowMillis);
            }
        }
    }

    /** Reports the content of this entry's own requests in flight; the other entries report theirs. */
    private void reportContent(CrashReport report, long nowMillis) {
        List<RequestFingerprint> content = new ArrayList<>();
        for (AdmittedRequest request : admitted.values()) {
            if (!request.hasAdvanced && report.inFlight().contains(request.fingerprint)) {
                content.addAll(request.content);
            }
        }
        if (!content.isEmpty()) {
            carryOut(
                    controller.contentCrashed(new ContentCrashReport(report.crashId(), content, List.of()), nowMillis));
        }
    }

    private boolean isFirstReport(String crashId) {
        boolean isNew = seenCrashes.add(crashId);
        Iterator<String> oldestFirst = seenCrashes.iterator();
        while (seenCrashes.size() > MAX_SEEN_CRASHES) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        return isNew;
    }

    private boolean isQuarantined(RequestFingerprint fingerprint, long nowMillis) {
        return controller.check(fingerprint, nowMillis) == QuarantineStatus.QUARANTINED;
    }

    /** Handles a quarantine update of another entry. */
    void received(QuarantineMessage message, long nowMillis) {
        QuarantineCodec.decode(message).ifPresent(update -> carryOut(controller.peerReported(update, nowMillis)));
    }

    void storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        carryOut(controller.storeReplied(call, reply, nowMillis));
    }

    /** Removes the fingerprints of requests that are no longer open. */
    void tick(Predicate<RequestId> isOpen, long nowMillis) {
        admitted.keySet().removeIf(isOpen.negate());
        carryOut(controller.tick(nowMillis));
    }

    private void carryOut(List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (action instanceof QuarantineAction.CallStore a) {
                host.callStore(a.call());
            } else if (action instanceof QuarantineAction.SendPeers a) {
                host.sendPeers(QuarantineCodec.encode(a.update()));
            } else if (action instanceof QuarantineAction.Refuse a) {
                refuse(a.fingerprint());
            }
        }
    }

    private void refuse(RequestFingerprint fingerprint) {
        for (Map.Entry<RequestId, AdmittedRequest> entry : Map.copyOf(admitted).entrySet()) {
            AdmittedRequest request = entry.getValue();
            boolean hasContent = !request.hasAdvanced && request.content.contains(fingerprint);
            if (hasContent || request.fingerprint.equals(fingerprint)) {
                admitted.remove(entry.getKey());
                host.refuse(entry.getKey());
            }
        }
    }

    /** An open request that may run. */
    private static final class AdmittedRequest {
        private final RequestFingerprint fingerprint;
        private final List<RequestFingerprint> content;
        private long firstTokensMillis;
        private boolean hasTokens;
        private boolean hasAdvanced;

        AdmittedRequest(RequestFingerprint fingerprint, List<RequestFingerprint> content) {
            this.fingerprint = fingerprint;
            this.content = content;
        }

        /** Returns whether the response no longer counts as just begun, for the first time. */
        boolean tokensReceived(long nowMillis) {
            if (!hasTokens) {
                hasTokens = true;
                firstTokensMillis = nowMillis;
            }
            if (hasAdvanced || nowMillis - firstTokensMillis < BEGINNING_MILLIS) {
                return false;
            }
            hasAdvanced = true;
            return true;
        }
    }

    /** Carries out the decisions of the gate. */
    interface Host {
        void callStore(StoreCall call);

        void sendPeers(Message message);

        /** Ends a queued or running request with {@code request_quarantined}. */
        void refuse(RequestId request);
    }
}
