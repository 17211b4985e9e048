package io.hornbeamscale.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.core.error.ErrorKind;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** The metrics of an entry. */
final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Counter requests = registry.counter("requests_total");
    private final Counter finished = registry.counter("responses_complete_total");
    private final Counter disconnected = registry.counter("callers_gone_total");
    private final Counter tokens = registry.counter("tokens_delivered_total");

    private final AtomicInteger unsentResponses = new AtomicInteger();

    /** Adds a gauge. */
    void gauge(String name, Supplier<Number> value) {
        registry.gauge(name, () -> value::get);
    }

    /** Counts a request whose response has not yet been sent in full. */
    void responseStarted() {
        unsentResponses.incrementAndGet();
    }

    /** Counts a response as ended: it was sent in full or its caller has disconnected. */
    void responseEnded() {
        unsentResponses.decrementAndGet();
    }

    int unsentResponses() {
        return unsentResponses.get();
    }

    MetricRegistry registry() {
        return registry;
    }

    void countRequest() {
        requests.inc();
    }

    void countFinished() {
        finished.inc();
    }

    void countDisconnected() {
        disconnected.inc();
    }

    void countTokens(int count) {
        tokens.inc(count);
    }

    void countError(ErrorKind kind) {
        registry.counter("errors_total." + kind.code()).inc();
    }
}
