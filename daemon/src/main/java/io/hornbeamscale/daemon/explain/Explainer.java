package io.hornbeamscale.daemon.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Reconstructs the path of a request from the log lines of several processes and finds what decided its outcome. */
final class Explainer {
    /** Smaller clock offsets are not reported, since entries learn of a change within about 50 ms. */
    private static final long MIN_REPORTED_OFFSET_MILLIS = 100;

    private static final long MILLIS_PER_SECOND = 1_000;

    private Explainer() {}

    /**
     * Explains a request.
     *
     * @param request the id of the request, not null
     * @param lines the lines of all processes, in any order, not null
     * @return the explanation, never null
     */
    static Explanation explain(String request, List<LogLine> lines) {
        List<LogLine> requestLines = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.field("request").equals(request)) {
                requestLines.add(line);
            }
        }
        if (requestLines.isEmpty()) {
            return new Explanation(
                    request, List.of(), Optional.empty(), List.of(), List.of("no line has the id of this request"));
        }
        Optional<LogLine> end = requestLines.stream().filter(Explainer::isEnd).findFirst();
        String reference = end.orElse(requestLines.get(0)).process();
        Map<String, Long> offsets = ClockOffsets.toClockOf(lines, reference);
        List<LogLine> path = new ArrayList<>();
        requestLines.forEach(line -> path.add(line.shifted(offsets.getOrDefault(line.process(), 0L))));
        path.sort(Comparator.comparingLong(LogLine::timeMillis));
        List<LogLine> referenceLines = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.process().equals(reference)) {
                referenceLines.add(line);
            }
        }
        referenceLines.sort(Comparator.comparingLong(LogLine::timeMillis));
        LogLine last = end.orElse(path.get(path.size() - 1));
        return new Explanation(
                request,
                path,
                end,
                knownStates(path, referenceLines, last.timeMillis()),
                missing(path, referenceLines, end, offsets));
    }

    private static boolean isEnd(LogLine line) {
        return line.event().equals("ended") || line.event().equals("refused");
    }

    private static List<Explanation.KnownState> knownStates(List<LogLine> path, List<LogLine> process, long atMillis) {
        Set<String> servers = new LinkedHashSet<>();
        for (LogLine line : path) {
            for (String name : List.of("server", "target", "copy")) {
                if (!line.field(name).isEmpty()) {
                    servers.add(line.field(name));
                }
            }
        }
        List<Explanation.KnownState> states = new ArrayList<>();
        last(process, atMillis, line -> line.event().equals("document"))
                .ifPresent(line -> states.add(knownState("document", line.field("detail"), line, atMillis)));
        last(process, atMillis, line -> line.event().startsWith("store_"))
                .ifPresent(line ->
                        states.add(knownState("store", line.event().substring("store_".length()), line, atMillis)));
        for (String server : servers) {
            last(
                            process,
                            atMillis,
                            line -> line.event().equals("server")
                                    && line.field("server").equals(server))
                    .ifPresent(line -> states.add(knownState(
                            "server " + server,
                            line.field("state") + " by " + line.field("source") + ", revision "
                                    + line.field("revision"),
                            line,
                            atMillis)));
        }
        return states;
    }

    private static Explanation.KnownState knownState(String subject, String state, LogLine line, long atMillis) {
        return new Explanation.KnownState(subject, state, atMillis - line.timeMillis());
    }

    private static Optional<LogLine> last(List<LogLine> ordered, long untilMillis, Predicate<LogLine> condition) {
        LogLine found = null;
        for (LogLine line : ordered) {
            if (line.timeMillis() > untilMillis) {
                break;
            }
            if (condition.test(line)) {
                found = line;
            }
        }
        return Optional.ofNullable(found);
    }

    private static List<String> missing(
            List<LogLine> path, List<LogLine> process, Optional<LogLine> end, Map<String, Long> offsets) {
        List<String> missing = new ArrayList<>();
        long from = path.get(0).timeMillis();
        if (end.isEmpty()) {
            Optional<LogLine> restart = process.stream()
                    .filter(line -> line.event().equals("start") && line.timeMillis() > from)
                    .findFirst();
            missing.add(restart.map(line -> "the end: the process started again " + (line.timeMillis() - from)
                            + " ms after the first line of this request")
                    .orElse("the end: the request was in progress, or the log breaks off"));
        } else if (end.get().event().equals("ended")
                && path.stream().noneMatch(line -> line.event().equals("sent"))
                && end.get().field("status").equals("200")) {
            missing.add("the line of the send that led to this response");
        }
        long until = path.get(path.size() - 1).timeMillis();
        Set<String> kinds = new TreeSet<>();
        for (LogLine line : process) {
            // The number of lines that were left out in a second is logged with the first line of a later second.
            boolean isNear = line.timeMillis() >= from && line.timeMillis() <= until + 2 * MILLIS_PER_SECOND;
            if (isNear && line.event().equals("lines_left_out")) {
                kinds.add(line.field("kind") + " (" + line.field("lines") + ")");
            }
        }
        kinds.forEach(kind -> missing.add("lines that were left out under load, of kind " + kind));
        for (Map.Entry<String, Long> offset : offsets.entrySet()) {
            if (Math.abs(offset.getValue()) > MIN_REPORTED_OFFSET_MILLIS) {
                missing.add("a common clock: " + offset.getKey() + " is off by " + -offset.getValue() + " ms");
            }
        }
        return missing;
    }
}
