package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks the servers that run streams of this entry whether they leave, while nobody hears it from the store. Servers are
 * taken back at a notice of about two seconds, and a stream that is not moved within it is lost. A report costs the
 * server time, so none is asked for while this entry or another one hears from the store. Runs on the traffic thread.
 */
final class ReportWatch {
    /** The pause between two rounds, in milliseconds; a report is some hundred milliseconds old itself. */
    private static final long ROUND_MILLIS = 250;

    /** How long a report may take, in milliseconds. */
    private static final long LIMIT_MILLIS = 800;

    private final Traffic traffic;
    private final Consumer<FleetServer> leaving;
    private final Set<String> asked = new HashSet<>();
    private boolean isActive;

    ReportWatch(Traffic traffic, Consumer<FleetServer> leaving) {
        this.traffic = traffic;
        this.leaving = leaving;
    }

    /** Starts or stops asking. */
    void setActive(boolean isStoreSilent) {
        if (isStoreSilent && !isActive) {
            isActive = true;
            round();
        }
        isActive = isStoreSilent;
    }

    private void round() {
        if (!isActive) {
            return;
        }
        for (Map.Entry<String, Long> each : traffic.streamsByServer().entrySet()) {
            traffic.server(each.getKey()).filter(FleetServer::isReady).ifPresent(this::ask);
        }
        traffic.thread().executeAfter(this::round, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void ask(FleetServer server) {
        if (!asked.add(server.id())) {
            return;
        }
        ExchangeCodec.EngineCall call = traffic.codec().reportCall();
        ShortCall.send(
                traffic.client(),
                traffic.thread(),
                server.registration().address(),
                call.method(),
                call.path(),
                call.body().getBytes(StandardCharsets.UTF_8),
                LIMIT_MILLIS,
                (status, body) -> {
                    asked.remove(server.id());
                    if (traffic.codec().isLeaving(status, body)) {
                        leaving.accept(server);
                    }
                });
    }
}
