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
    private final Counter gone = registry.counter("callers_gone_total");
    private final Counter tokens = registry.counter("tokens_delivered_total");

    private final AtomicInteger unsent = new AtomicInteger();

    /** Adds a gauge. */
    void gauge(String name, Supplier<Number> value) {
        registry.gauge(name, () -> value::get);
    }

    /** Notes a response that has begun but has not left the process. */
    void responseBegun() {
        unsent.incrementAndGet();
    }

    /** Notes a response that has left the process or whose caller is gone. */
    void responseSent() {
        unsent.decrementAndGet();
    }

    int unsent() {
        return unsent.get();
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

    void countGone() {
        gone.inc();
    }

    void countTokens(int count) {
        tokens.inc(count);
    }

    void countError(ErrorKind kind) {
        registry.counter("errors_total." + kind.code()).inc();
    }
}
