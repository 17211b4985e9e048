package io.hornbeamscale.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures of several runs, with one table per scenario, one row per figure and one column per policy. */
final class MeasureTable {
    /** The values of all seeds by scenario, policy and figure. */
    private final Map<String, Map<String, Map<String, List<Double>>>> values = new LinkedHashMap<>();

    void add(String scenario, String policy, Map<String, Double> figures) {
        Map<String, List<Double>> byFigure = values.computeIfAbsent(scenario, k -> new LinkedHashMap<>())
                .computeIfAbsent(policy, k -> new LinkedHashMap<>());
        figures.forEach((name, v) ->
                byFigure.computeIfAbsent(name, k -> new ArrayList<>()).add(v));
    }

    List<Double> valuesOf(String scenario, String policy, String figure) {
        return values.getOrDefault(scenario, Map.of())
                .getOrDefault(policy, Map.of())
                .getOrDefault(figure, List.of());
    }

    static double median(List<Double> list) {
        List<Double> sorted = new ArrayList<>(list);
        Collections.sort(sorted);
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    /** Prints the median of each figure over the seeds, with the minimum and the maximum. */
    void print(PrintStream out, List<String> figures) {
        values.forEach((scenario, byPolicy) -> {
            out.printf("%-12s %-18s", "scenario", "figure");
            byPolicy.keySet().forEach(p -> out.printf(" %30s", p));
            out.println();
            Map<String, List<Double>> byFigure = new LinkedHashMap<>();
            byPolicy.values().forEach(byFigure::putAll);
            for (String figure : byFigure.keySet()) {
                if (!figures.isEmpty() && !figures.contains(figure)) {
                    continue;
                }
                out.printf("%-12s %-18s", scenario, figure);
                byPolicy.values().forEach(f -> out.printf(" %30s", cell(f.getOrDefault(figure, List.of()))));
                out.println();
            }
        });
    }

    private static String cell(List<Double> list) {
        if (list.isEmpty()) {
            return "-";
        }
        if (list.size() == 1) {
            return String.format(Locale.ROOT, "%.3f", list.get(0));
        }
        return String.format(
                Locale.ROOT, "%.3f [%.2f..%.2f]", median(list), Collections.min(list), Collections.max(list));
    }

    void writeJson(String file) {
        try {
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(new File(file), values);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the table to " + file, e);
        }
    }
}
