package io.hornbeamscale.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Snapshot;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Map;

/** Serves the metrics in the Prometheus text format, one value per line. */
final class MetricsHandler implements HttpHandler {
    private static final String PREFIX = "hornbeamscale_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final GatewayMetrics metrics;

    MetricsHandler(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, Counter> each : metrics.registry().getCounters().entrySet()) {
            out.append(name(each.getKey()))
                    .append(' ')
                    .append(each.getValue().getCount())
                    .append('\n');
        }
        metrics.registry()
                .getGauges()
                .forEach((metric, gauge) -> out.append(name(metric))
                        .append(' ')
                        .append(gauge.getValue())
                        .append('\n'));
        for (Map.Entry<String, Histogram> each :
                metrics.registry().getHistograms().entrySet()) {
            Snapshot snapshot = each.getValue().getSnapshot();
            String name = name(each.getKey());
            for (double quantile : QUANTILES) {
                out.append(name).append("{quantile=\"").append(quantile).append("\"} ");
                out.append(snapshot.getValue(quantile)).append('\n');
            }
            out.append(name)
                    .append("_count ")
                    .append(each.getValue().getCount())
                    .append('\n');
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.getResponseSender().send(out.toString());
    }

    private static String name(String metric) {
        return PREFIX + metric.replace('.', '_');
    }
}
