package io.hornbeamscale.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.core.admission.AdmissionEvent;
import io.hornbeamscale.core.eligibility.IneligibleReason;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.route.RequestKind;
import java.util.Locale;

/** The counters and histograms of an entry. The name of a metric ends in its unit, if it has one. */
final class GatewayMetrics {
    private static final int STATUS_CLASS = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter heldBytes = registry.counter("clients_held_bytes");
    private final Histogram firstEvent = registry.histogram("first_event_millis");
    private final Histogram admissionWait = registry.histogram("admission_wait_millis");

    MetricRegistry registry() {
        return registry;
    }

    /** Records the end of a request; status 0 means that the connection was closed. */
    void requestEnded(RequestKind kind, int status, long millis) {
        String name = kind.name().toLowerCase(Locale.ROOT);
        registry.counter("requests." + name + "_" + status / STATUS_CLASS + "xx")
                .inc();
        registry.histogram("request_millis." + name).update(millis);
    }

    void requestRefused(int status) {
        registry.counter("refused." + status).inc();
    }

    void firstEvent(long millis) {
        firstEvent.update(millis);
    }

    /** Exports how often each reason has forbidden a server. */
    void exportEligibility(ServerEligibility eligibility) {
        for (IneligibleReason reason : IneligibleReason.values()) {
            registry.register("ineligible_" + reason.code(), (Gauge<Long>) () -> eligibility.count(reason));
        }
    }

    /** Records how long a stream waited for room before it was sent, 0 if it did not wait. */
    void admitted(long waitMillis) {
        admissionWait.update(waitMillis);
    }

    /** Counts a decision of the admission. */
    void admission(AdmissionEvent event) {
        count("admission_" + event.name().toLowerCase(Locale.ROOT));
    }

    /** Counts a send that was cancelled because its request was hedged, and the time that its server spent on it. */
    void hedgeCancelled(long millis) {
        registry.counter("hedges_cancelled").inc();
        registry.counter("hedges_cancelled_millis").inc(millis);
    }

    /** Records the bytes that are held for callers. */
    void setHeldBytes(long bytes) {
        heldBytes.inc(bytes - heldBytes.getCount());
    }

    void count(String name) {
        registry.counter(name).inc();
    }
}
