package io.hornbeamscale.daemon;

import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.id.RequestId;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Refuses requests that are quarantined because they crash engines, and shares quarantine updates with the other
 * entries. Used on the control thread.
 */
final class QuarantineGate {
    private final QuarantineController controller;
    private final Host host;
    private final Map<RequestId, RequestFingerprint> fingerprints = new HashMap<>();

    QuarantineGate(QuarantineController controller, Host host) {
        this.controller = controller;
        this.host = host;
    }

    /** Returns whether a request may run; if so, keeps its fingerprint in case it is quarantined while it is open. */
    boolean tryAdmit(EntryRequest request, long nowMillis) {
        if (request.work().isPlain()) {
            return true;
        }
        RequestFingerprint fingerprint = RequestFingerprint.of(
                request.work().customer(), request.call().body().bytes());
        if (controller.check(fingerprint, nowMillis) == QuarantineStatus.QUARANTINED) {
            return false;
        }
        fingerprints.put(request.work().request(), fingerprint);
        return true;
    }

    /** Returns the work, marked as suspect if its request was in flight at a crash and has not completed since. */
    WorkItem markSuspect(WorkItem work, long nowMillis) {
        RequestFingerprint fingerprint = fingerprints.get(work.request());
        boolean isSuspect = fingerprint != null && controller.check(fingerprint, nowMillis) != QuarantineStatus.CLEAR;
        return isSuspect ? work.asSuspect() : work;
    }

    /** Handles the complete response of a request, which clears it of suspicion. */
    void completed(RequestId request, long nowMillis) {
        RequestFingerprint fingerprint = fingerprints.remove(request);
        if (fingerprint != null) {
            carryOut(controller.completed(fingerprint, nowMillis));
        }
    }

    /** Handles the crashes that an agent reports in its status. */
    void crashesReported(List<String> suspects, long nowMillis) {
        for (CrashReport report : CrashTracker.decode(suspects)) {
            carryOut(controller.crashed(report, nowMillis));
        }
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
        fingerprints.keySet().removeIf(isOpen.negate());
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
        for (Map.Entry<RequestId, RequestFingerprint> entry :
                Map.copyOf(fingerprints).entrySet()) {
            if (entry.getValue().equals(fingerprint)) {
                fingerprints.remove(entry.getKey());
                host.refuse(entry.getKey());
            }
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
