package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineAction;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineStatus;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.TruncatedSha256;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds generations that crash the servers that run them. A broken connection alone says little, so the server is asked
 * for a connection before a crash is reported; a crash of a server that was about to leave says nothing. Methods run on
 * the traffic thread.
 */
final class CrashWatch {
    /** How long a report waits for the other connections to the same server to break, in milliseconds. */
    private static final long COLLECT_MILLIS = 100;

    /** How long the server may take to accept a connection, in milliseconds. */
    private static final long CONNECT_MILLIS = 500;

    private final Traffic traffic;
    private final QuarantineController controller;
    private final Consumer<QuarantineUpdate> tell;
    private final Consumer<StoreCall> callStore;
    private final Map<String, Set<RequestFingerprint>> broken = new HashMap<>();

    CrashWatch(
            Traffic traffic,
            QuarantineController controller,
            Consumer<QuarantineUpdate> tell,
            Consumer<StoreCall> callStore) {
        this.traffic = traffic;
        this.controller = controller;
        this.tell = tell;
        this.callStore = callStore;
    }

    /** Returns what identifies a request that comes again: the customer, the path and the body. */
    static RequestFingerprint fingerprint(RelayRequest request) {
        String customer = request.customer().map(c -> c.name()).orElse("");
        byte[] body = new byte[request.body().remaining()];
        request.body().duplicate().get(body);
        return new RequestFingerprint(TruncatedSha256.of(body, customer, request.method(), request.target()));
    }

    /** Returns whether a request has crashed servers and must not run again. */
    boolean isQuarantined(RelayRequest request, long nowMillis) {
        return controller.check(fingerprint(request), nowMillis) == QuarantineStatus.QUARANTINED;
    }

    /** Notes that the connection to a server broke while it ran a request. */
    void broke(FleetServer server, RelayRequest request) {
        boolean isReady = traffic.server(server.id()).map(FleetServer::isReady).orElse(false);
        if (!isReady) {
            return;
        }
        String life = server.id() + "/" + server.registration().startedAtMillis();
        Set<RequestFingerprint> requests = broken.get(life);
        if (requests != null) {
            requests.add(fingerprint(request));
            return;
        }
        requests = new HashSet<>();
        requests.add(fingerprint(request));
        broken.put(life, requests);
        traffic.thread().executeAfter(() -> check(server, life), COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Notes a complete response, which clears the request. */
    void completed(RelayRequest request, long nowMillis) {
        carryOut(controller.completed(fingerprint(request), nowMillis));
    }

    /** Handles news of another entry. */
    void told(QuarantineUpdate news, long nowMillis) {
        carryOut(controller.peerReported(news, nowMillis));
    }

    void storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        carryOut(controller.storeReplied(call, reply, nowMillis));
    }

    void tick(long nowMillis) {
        carryOut(controller.tick(nowMillis));
    }

    private void check(FleetServer server, String life) {
        traffic.client().probe(server.registration().address(), CONNECT_MILLIS, isOpen -> {
            Set<RequestFingerprint> requests = broken.remove(life);
            if (!isOpen && requests != null) {
                traffic.log().crashSeen(server.id(), requests.size());
                carryOut(controller.crashed(new CrashReport(life, requests), ControlLoop.now()));
            }
        });
    }

    private void carryOut(List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (action instanceof QuarantineAction.CallStore a) {
                callStore.accept(a.call());
            } else if (action instanceof QuarantineAction.SendPeers a) {
                tell.accept(a.update());
            } else if (action instanceof QuarantineAction.Refuse a) {
                traffic.log().convicted(a.fingerprint().digest());
                traffic.metrics().count("convicted");
            }
        }
    }
}
