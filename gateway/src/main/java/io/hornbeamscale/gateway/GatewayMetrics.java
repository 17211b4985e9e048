package io.hornbeamscale.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.core.route.RequestKind;
import java.util.Locale;

/** The counters and histograms of an entry. The name of a metric ends in its unit, if it has one. */
final class GatewayMetrics {
    private static final int STATUS_CLASS = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter heldBytes = registry.counter("clients_held_bytes");
    private final Histogram firstEvent = registry.histogram("first_event_millis");

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

    /** Records the bytes that are held for callers. */
    void setHeldBytes(long bytes) {
        heldBytes.inc(bytes - heldBytes.getCount());
    }

    void count(String name) {
        registry.counter(name).inc();
    }
}
