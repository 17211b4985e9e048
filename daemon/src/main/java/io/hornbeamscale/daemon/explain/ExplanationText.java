package io.hornbeamscale.daemon.explain;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;

/** Formats an explanation as text for people or as JSON for programs. */
final class ExplanationText {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> FIELDS_SHOWN_SEPARATELY = Set.of("event", "request");

    private ExplanationText() {}

    /** Returns the text for people; times are relative to the first line. */
    static String text(Explanation explanation) {
        StringBuilder text = new StringBuilder("Request " + explanation.request() + "\n");
        long from = explanation.path().isEmpty() ? 0 : explanation.path().get(0).timeMillis();
        for (LogLine line : explanation.path()) {
            text.append("  %8d ms  %s  %s  %s%n"
                    .formatted(line.timeMillis() - from, line.process(), line.event(), fields(line)));
        }
        explanation
                .deciding()
                .ifPresent(line -> text.append("Decided by ")
                        .append(line.process())
                        .append(": status ")
                        .append(line.field("status"))
                        .append(", ")
                        .append(line.field("why"))
                        .append('\n'));
        if (!explanation.knownStates().isEmpty()) {
            text.append("It believed then:\n");
        }
        explanation
                .knownStates()
                .forEach(known -> text.append(
                        "  %s: %s, known for %d ms%n".formatted(known.subject(), known.state(), known.ageMillis())));
        explanation
                .missing()
                .forEach(what -> text.append("Missing: ").append(what).append('\n'));
        return text.toString();
    }

    /** Returns a JSON object with the same content; times are in milliseconds since 1970. */
    static String json(Explanation explanation) {
        ObjectNode root = JSON.createObjectNode().put("request", explanation.request());
        ArrayNode path = root.putArray("path");
        explanation.path().forEach(line -> put(path.addObject(), line));
        explanation.deciding().ifPresent(line -> put(root.putObject("deciding"), line));
        ArrayNode states = root.putArray("beliefs");
        explanation
                .knownStates()
                .forEach(known -> states.addObject()
                        .put("subject", known.subject())
                        .put("state", known.state())
                        .put("ageMillis", known.ageMillis()));
        ArrayNode missing = root.putArray("missing");
        explanation.missing().forEach(missing::add);
        return root.toPrettyString() + "\n";
    }

    private static void put(ObjectNode node, LogLine line) {
        node.put("process", line.process()).put("timeMillis", line.timeMillis());
        new TreeMap<>(line.fields()).forEach(node::put);
    }

    private static String fields(LogLine line) {
        StringJoiner joiner = new StringJoiner(", ");
        for (Map.Entry<String, String> field : new TreeMap<>(line.fields()).entrySet()) {
            if (!FIELDS_SHOWN_SEPARATELY.contains(field.getKey())
                    && !field.getValue().isEmpty()) {
                joiner.add(field.getKey() + " " + field.getValue());
            }
        }
        return joiner.toString();
    }
}
