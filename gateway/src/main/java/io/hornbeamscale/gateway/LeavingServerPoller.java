package io.hornbeamscale.gateway;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.fleet.FleetServer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks the servers that run streams of this entry whether they are leaving, while no entry gets answers from the store.
 * Servers are taken away at a notice of about two seconds, and a stream that is not moved within it is lost. A report
 * costs the server time, so none is requested while this entry or another one gets answers from the store. Runs on the
 * traffic thread.
 */
final class LeavingServerPoller {
    /** The interval between two polls, in milliseconds; a report is itself some hundred milliseconds old. */
    private static final long POLL_INTERVAL_MILLIS = 250;

    /** How long a report may take, in milliseconds. */
    private static final long REPORT_TIMEOUT_MILLIS = 800;

    private final TrafficState traffic;
    private final BackendClient client;
    private final Consumer<FleetServer> onLeaving;
    private final Set<String> pendingServers = new HashSet<>();
    private boolean isActive;

    /**
     * Creates a poller that is not active.
     *
     * @param client sends only reports, since a report that a server sends late must not meet a caller's request
     */
    LeavingServerPoller(TrafficState traffic, BackendClient client, Consumer<FleetServer> onLeaving) {
        this.traffic = traffic;
        this.client = client;
        this.onLeaving = onLeaving;
    }

    /** Starts or stops polling. */
    void setActive(boolean isEnabled) {
        if (isEnabled && !isActive) {
            isActive = true;
            poll();
        }
        isActive = isEnabled;
    }

    private void poll() {
        if (!isActive) {
            return;
        }
        for (Map.Entry<String, Long> each : traffic.streamsByServer().entrySet()) {
            traffic.server(each.getKey()).filter(this::takesCalls).ifPresent(this::requestReport);
        }
        traffic.thread().executeAfter(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean takesCalls(FleetServer server) {
        return traffic.eligibility()
                .check(server, SendTerms.ANY.uncounted(), ControlLoop.now())
                .isAllowed();
    }

    private void requestReport(FleetServer server) {
        if (!pendingServers.add(server.id())) {
            return;
        }
        ExchangeCodec.EngineCall call = traffic.codec().reportCall();
        BufferedCall.send(
                client,
                traffic.thread(),
                server.registration().address(),
                call.method(),
                call.path(),
                call.body().getBytes(StandardCharsets.UTF_8),
                BackendClient.Reuse.ANY,
                REPORT_TIMEOUT_MILLIS,
                BufferedCall.MAX_SERVER_RESPONSE_BYTES,
                (status, headers, body) -> {
                    pendingServers.remove(server.id());
                    if (traffic.codec().isLeaving(status, body)) {
                        onLeaving.accept(server);
                    }
                });
    }
}
