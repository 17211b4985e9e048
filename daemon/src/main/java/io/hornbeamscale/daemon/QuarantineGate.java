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

/** Refuses requests that have crashed engines, and tells the other entries. Used on the control thread. */
final class QuarantineGate {
    private final QuarantineController controller;
    private final Host host;
    private final Map<RequestId, RequestFingerprint> open = new HashMap<>();

    QuarantineGate(QuarantineController controller, Host host) {
        this.controller = controller;
        this.host = host;
    }

    /** Returns whether a request may run, and remembers it in case it is quarantined later. */
    boolean admits(EntryRequest request, long nowMillis) {
        if (request.work().isPlain()) {
            return true;
        }
        RequestFingerprint fingerprint = RequestFingerprint.of(
                request.work().customer(), request.call().body().bytes());
        if (controller.check(fingerprint, nowMillis) == QuarantineStatus.QUARANTINED) {
            return false;
        }
        open.put(request.work().request(), fingerprint);
        return true;
    }

    /** Returns the work as it is reserved now: marked if the request was in flight at a crash. */
    WorkItem mark(WorkItem work, long nowMillis) {
        RequestFingerprint fingerprint = open.get(work.request());
        boolean isSuspect = fingerprint != null && controller.check(fingerprint, nowMillis) != QuarantineStatus.CLEAR;
        return isSuspect ? work.asSuspect() : work;
    }

    /** Notes a complete response, which clears the request. */
    void completed(RequestId request, long nowMillis) {
        RequestFingerprint fingerprint = open.remove(request);
        if (fingerprint != null) {
            carryOut(controller.completed(fingerprint, nowMillis));
        }
    }

    /** Handles the crashes in an agent's status. */
    void reported(List<String> suspects, long nowMillis) {
        for (CrashReport report : CrashReports.read(suspects)) {
            carryOut(controller.crashed(report, nowMillis));
        }
    }

    /** Handles news of another entry. */
    void received(QuarantineMessage message, long nowMillis) {
        QuarantineCodec.decode(message).ifPresent(news -> carryOut(controller.peerReported(news, nowMillis)));
    }

    void storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        carryOut(controller.storeReplied(call, reply, nowMillis));
    }

    /** Forgets requests that no longer wait for a response. */
    void tick(Predicate<RequestId> isOpen, long nowMillis) {
        open.keySet().removeIf(isOpen.negate());
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
        for (Map.Entry<RequestId, RequestFingerprint> entry : Map.copyOf(open).entrySet()) {
            if (entry.getValue().equals(fingerprint)) {
                open.remove(entry.getKey());
                host.refuse(entry.getKey());
            }
        }
    }

    /** What the gate asks its daemon to do. */
    interface Host {
        void callStore(StoreCall call);

        void sendPeers(Message message);

        /** Ends a running or waiting request with {@code request_quarantined}. */
        void refuse(RequestId request);
    }
}
