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

/** Puts a request's path together from the lines of several processes and finds what decided its outcome. */
final class Explainer {
    /** A difference of clocks below this is not worth a remark; entries learn of changes within some 50 ms. */
    private static final long CLOCK_REMARK_MILLIS = 100;

    private static final long SECOND_MILLIS = 1_000;

    private Explainer() {}

    /**
     * Explains a request.
     *
     * @param request the id of the request, not null
     * @param lines the lines of all processes, in any order, not null
     * @return what they say, never null
     */
    static Explanation explain(String request, List<LogLine> lines) {
        List<LogLine> own = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.field("request").equals(request)) {
                own.add(line);
            }
        }
        if (own.isEmpty()) {
            return new Explanation(
                    request, List.of(), Optional.empty(), List.of(), List.of("no line has the id of this request"));
        }
        Optional<LogLine> end = own.stream().filter(Explainer::isEnd).findFirst();
        String reference = end.orElse(own.get(0)).process();
        Map<String, Long> offsets = ClockOffsets.toClockOf(lines, reference);
        List<LogLine> path = new ArrayList<>();
        own.forEach(line -> path.add(line.shifted(offsets.getOrDefault(line.process(), 0L))));
        path.sort(Comparator.comparingLong(LogLine::timeMillis));
        List<LogLine> sameProcess = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.process().equals(reference)) {
                sameProcess.add(line);
            }
        }
        sameProcess.sort(Comparator.comparingLong(LogLine::timeMillis));
        LogLine last = end.orElse(path.get(path.size() - 1));
        return new Explanation(
                request,
                path,
                end,
                beliefs(path, sameProcess, last.timeMillis()),
                missing(path, sameProcess, end, offsets));
    }

    private static boolean isEnd(LogLine line) {
        return line.event().equals("ended") || line.event().equals("refused");
    }

    private static List<Explanation.Belief> beliefs(List<LogLine> path, List<LogLine> process, long atMillis) {
        Set<String> servers = new LinkedHashSet<>();
        for (LogLine line : path) {
            for (String name : List.of("server", "target", "copy")) {
                if (!line.field(name).isEmpty()) {
                    servers.add(line.field(name));
                }
            }
        }
        List<Explanation.Belief> beliefs = new ArrayList<>();
        last(process, atMillis, line -> line.event().equals("document"))
                .ifPresent(line -> beliefs.add(belief("document", line.field("detail"), line, atMillis)));
        last(process, atMillis, line -> line.event().startsWith("store_"))
                .ifPresent(line ->
                        beliefs.add(belief("store", line.event().substring("store_".length()), line, atMillis)));
        for (String server : servers) {
            last(
                            process,
                            atMillis,
                            line -> line.event().equals("server")
                                    && line.field("server").equals(server))
                    .ifPresent(line -> beliefs.add(belief(
                            "server " + server,
                            line.field("state") + " by " + line.field("source") + ", revision "
                                    + line.field("revision"),
                            line,
                            atMillis)));
        }
        return beliefs;
    }

    private static Explanation.Belief belief(String subject, String state, LogLine line, long atMillis) {
        return new Explanation.Belief(subject, state, atMillis - line.timeMillis());
    }

    private static Optional<LogLine> last(List<LogLine> ordered, long untilMillis, Predicate<LogLine> wanted) {
        LogLine found = null;
        for (LogLine line : ordered) {
            if (line.timeMillis() > untilMillis) {
                break;
            }
            if (wanted.test(line)) {
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
            // The lines left out in a second are counted in the first line of a later second.
            boolean isNear = line.timeMillis() >= from && line.timeMillis() <= until + 2 * SECOND_MILLIS;
            if (isNear && line.event().equals("lines_left_out")) {
                kinds.add(line.field("kind") + " (" + line.field("lines") + ")");
            }
        }
        kinds.forEach(kind -> missing.add("lines that were left out under load, of kind " + kind));
        for (Map.Entry<String, Long> offset : offsets.entrySet()) {
            if (Math.abs(offset.getValue()) > CLOCK_REMARK_MILLIS) {
                missing.add("a common clock: " + offset.getKey() + " is off by " + -offset.getValue() + " ms");
            }
        }
        return missing;
    }
}
