package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.quarantine.ContentCrashReport;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineAction;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineStatus;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.TruncatedSha256;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Detects requests that crash the servers that run them. A broken connection alone is no proof, so a crash is reported
 * only if the server then accepts no connection; a broken connection to a leaving server is ignored, because its end is
 * expected. Methods run on the traffic thread.
 */
final class CrashDetector {
    /** How long broken connections to the same server are collected before it is probed, in milliseconds. */
    private static final long COLLECTION_MILLIS = 100;

    /**
     * How long no plain request that breaks off leads to another probe of a server that accepted one, in milliseconds;
     * a faulty server may break off many.
     */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** How long the server may take to accept a connection, in milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** The kind of content that the parts of a prompt are. */
    private static final String PROMPT_PART = "prompt part";

    private final TrafficState traffic;
    private final QuarantineController controller;
    private final Consumer<QuarantineUpdate> sendToPeers;
    private final Consumer<StoreCall> callStore;

    /** The requests whose connections broke, by incarnation of their server. */
    private final Map<String, List<BrokenRequest>> brokenRequests = new HashMap<>();

    /** When plain requests that break off may lead to the next probe, by incarnation of their server. */
    private final Map<String, Long> nextProbeMillis = new HashMap<>();

    CrashDetector(
            TrafficState traffic,
            QuarantineController controller,
            Consumer<QuarantineUpdate> sendToPeers,
            Consumer<StoreCall> callStore) {
        this.traffic = traffic;
        this.controller = controller;
        this.sendToPeers = sendToPeers;
        this.callStore = callStore;
    }

    /**
     * Returns the fingerprint that identifies a request when it is sent again: customer, method, path with query, and
     * body.
     */
    static RequestFingerprint fingerprint(RelayRequest request) {
        String customer = request.customer().map(c -> c.name()).orElse("");
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        return new RequestFingerprint(TruncatedSha256.of(body, customer, request.method(), request.target()));
    }

    /**
     * Returns what may crash the server that runs a request: for a generation the prompt parts that other requests may
     * share, which the last part is not, and for a plain request the request itself.
     */
    static List<RequestFingerprint> content(RelayRequest request) {
        if (!request.isGeneration()) {
            return List.of(fingerprint(request));
        }
        List<PromptPart> parts = request.head().promptParts();
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(part -> RequestFingerprint.ofContent(PROMPT_PART, part.id()))
                .toList();
    }

    /** Returns whether a request is quarantined because it, or a part of its prompt, has crashed servers. */
    boolean isQuarantined(RelayRequest request, long nowMillis) {
        if (controller.isIdle()) {
            return false;
        }
        return controller.check(fingerprint(request), nowMillis) == QuarantineStatus.QUARANTINED
                || content(request).stream()
                        .anyMatch(each -> controller.check(each, nowMillis) == QuarantineStatus.QUARANTINED);
    }

    /** Records that the connection to a server broke while it ran a request. */
    void connectionBroke(FleetServer server, RelayRequest request, ResponseProgress progress, long nowMillis) {
        boolean isReady = traffic.server(server.id())
                .map(s -> !traffic.eligibility().isLeaving(s))
                .orElse(false);
        String incarnation = server.id() + "/" + server.registration().startedAtMillis();
        boolean isProbedLately =
                !request.isGeneration() && nowMillis < nextProbeMillis.getOrDefault(incarnation, Long.MIN_VALUE);
        if (!isReady || isProbedLately) {
            return;
        }
        List<BrokenRequest> requests = brokenRequests.get(incarnation);
        if (requests != null) {
            requests.add(new BrokenRequest(request, progress));
            return;
        }
        requests = new ArrayList<>();
        requests.add(new BrokenRequest(request, progress));
        brokenRequests.put(incarnation, requests);
        traffic.thread().executeAfter(() -> check(server, incarnation), COLLECTION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Records a response that has advanced, which clears the parts of the prompt of suspicion. */
    void advanced(RelayRequest request, long nowMillis) {
        carryOut(controller.contentSucceeded(content(request), nowMillis));
    }

    /** Records a complete response, which clears the request and the parts of its prompt of suspicion. */
    void completed(RelayRequest request, long nowMillis) {
        if (request.isGeneration()) {
            carryOut(controller.completed(fingerprint(request), nowMillis));
            advanced(request, nowMillis);
        } else if (!controller.isIdle()) {
            // Most plain requests are never suspected, and a digest of each body costs processor time.
            advanced(request, nowMillis);
        }
    }

    /** Handles quarantine news of another entry. */
    void receivedNews(QuarantineUpdate news, long nowMillis) {
        carryOut(controller.peerReported(news, nowMillis));
    }

    void storeRestored(long nowMillis) {
        controller.storeRestored(nowMillis);
    }

    void storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        carryOut(controller.storeReplied(call, reply, nowMillis));
    }

    void tick(long nowMillis) {
        carryOut(controller.tick(nowMillis));
    }

    private void check(FleetServer server, String incarnation) {
        traffic.client().probe(server.registration().address(), CONNECT_TIMEOUT_MILLIS, isOpen -> {
            List<BrokenRequest> requests = brokenRequests.remove(incarnation);
            long now = ControlLoop.now();
            if (isOpen) {
                nextProbeMillis.values().removeIf(at -> at <= now);
                nextProbeMillis.put(incarnation, now + PROBE_INTERVAL_MILLIS);
            } else if (requests != null) {
                traffic.log().crashSeen(server.id(), requests.size());
                traffic.metrics().count("crashes");
                report(server.id(), incarnation, requests, now);
            }
        });
    }

    private void report(String server, String incarnation, List<BrokenRequest> requests, long nowMillis) {
        Set<RequestFingerprint> inFlight = new HashSet<>();
        List<RequestFingerprint> begun = new ArrayList<>();
        List<RequestFingerprint> waiting = new ArrayList<>();
        for (BrokenRequest broken : requests) {
            RequestFingerprint fingerprint = fingerprint(broken.request());
            traffic.log().inFlightAtCrash(broken.request(), server, fingerprint.digest(), broken.progress());
            if (broken.request().isGeneration()) {
                inFlight.add(fingerprint);
            }
            // Content crashes an engine before the response advances.
            if (broken.progress() == ResponseProgress.BEGUN) {
                begun.addAll(content(broken.request()));
            } else if (broken.progress() == ResponseProgress.WAITING) {
                waiting.addAll(content(broken.request()));
            }
        }
        if (!inFlight.isEmpty()) {
            carryOut(controller.crashed(new CrashReport(incarnation, inFlight), nowMillis));
        }
        if (!begun.isEmpty() || !waiting.isEmpty()) {
            carryOut(controller.contentCrashed(new ContentCrashReport(incarnation, begun, waiting), nowMillis));
        }
    }

    private void carryOut(List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (action instanceof QuarantineAction.CallStore a) {
                callStore.accept(a.call());
            } else if (action instanceof QuarantineAction.SendPeers a) {
                sendToPeers.accept(a.update());
            } else if (action instanceof QuarantineAction.Refuse a) {
                traffic.log().requestQuarantined(a.fingerprint().digest());
                traffic.metrics().count("convicted");
                traffic.relays().forEach(relay -> relay.endIfQuarantined(ControlLoop.now()));
            }
        }
    }

    private record BrokenRequest(RelayRequest request, ResponseProgress progress) {}
}
