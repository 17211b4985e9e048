package io.hornbeamscale.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats a metric registry in Prometheus's text format. A counter named {@code metric.value} becomes {@code metric}
 * with the label {@code kind="value"}.
 */
final class PrometheusText {
    private static final String PREFIX = "hornbeamscale_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private PrometheusText() {}

    static String of(MetricRegistry registry) {
        StringBuilder out = new StringBuilder();
        String previous = "";
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            String name = metricName(entry.getKey());
            if (!name.equals(previous)) {
                out.append("# TYPE ").append(name).append(" counter\n");
            }
            previous = name;
            out.append(name).append(label(entry.getKey())).append(' ');
            out.append(entry.getValue().getCount()).append('\n');
        }
        for (Map.Entry<String, ? extends Gauge<?>> entry : gauges(registry).entrySet()) {
            Object value = entry.getValue().getValue();
            if (value instanceof Number) {
                out.append("# TYPE ").append(metricName(entry.getKey())).append(" gauge\n");
                out.append(metricName(entry.getKey())).append(' ').append(value).append('\n');
            }
        }
        registry.getHistograms().forEach((name, histogram) -> histogram(out, metricName(name), histogram));
        return out.toString();
    }

    @SuppressWarnings("rawtypes")
    private static Map<String, ? extends Gauge<?>> gauges(MetricRegistry registry) {
        Map<String, Gauge<?>> gauges = new TreeMap<>();
        for (Map.Entry<String, Gauge> entry : registry.getGauges().entrySet()) {
            gauges.put(entry.getKey(), entry.getValue());
        }
        return gauges;
    }

    private static void histogram(StringBuilder out, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        out.append("# TYPE ").append(name).append(" summary\n");
        for (double quantile : QUANTILES) {
            out.append(name).append("{quantile=\"").append(quantile).append("\"} ");
            out.append(snapshot.getValue(quantile)).append('\n');
        }
        out.append(name).append("_count ").append(histogram.getCount()).append('\n');
    }

    private static String metricName(String name) {
        int dot = name.indexOf('.');
        return PREFIX + (dot < 0 ? name : name.substring(0, dot));
    }

    private static String label(String name) {
        int dot = name.indexOf('.');
        return dot < 0 ? "" : "{kind=\"" + name.substring(dot + 1) + "\"}";
    }
}
