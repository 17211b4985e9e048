package io.hornbeamscale.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.core.error.ErrorKind;

/** The metrics of an entry. */
final class EntryMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Counter requests = registry.counter("requests_total");
    private final Counter finished = registry.counter("responses_complete_total");
    private final Counter gone = registry.counter("callers_gone_total");
    private final Counter tokens = registry.counter("tokens_delivered_total");

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
