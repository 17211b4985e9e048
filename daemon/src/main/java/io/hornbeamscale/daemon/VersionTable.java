package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Which version of the document is in force at each node, which nodes lag and why. */
final class VersionTable {
    private final Map<String, Row> rows = new TreeMap<>();
    private final Map<String, String> silent = new LinkedHashMap<>();
    private long newest;

    /** Adds the status of a node and what it has heard of others. The statement of a node itself takes precedence. */
    void add(JsonNode status) {
        String role = status.path("role").asText();
        String node = status.path(role.equals("entry") ? "node" : "backend").asText();
        long version = status.path("config_version").asLong();
        newest =
                Math.max(newest, Math.max(version, status.path("newest_version").asLong()));
        boolean isDraining = status.path("draining").asBoolean();
        String problem = status.path("problem").asText();
        String reason = isDraining ? (problem.isEmpty() ? "draining" : problem + "; draining") : problem;
        rows.put(node, new Row(node, role, version, reason, true));
        heard(status.path("entry_versions"), "entry", node);
        heard(status.path("agent_versions"), "agent", node);
    }

    /** Adds a node that does not answer. */
    void addSilent(String address, String reason) {
        silent.put(address, reason);
    }

    /** Returns the rows as maps, for JSON. */
    List<Map<String, Object>> fields() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Row row : rows.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("node", row.node());
            fields.put("role", row.role());
            fields.put("config_version", row.version());
            fields.put("behind", newest - row.version());
            fields.put("reason", row.reason());
            list.add(fields);
        }
        silent.forEach((address, reason) -> list.add(Map.of("address", address, "reason", reason)));
        return list;
    }

    /** Returns the rows as lines. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(line("NODE", "ROLE", "IN FORCE", "LAG", "REASON"));
        for (Row row : rows.values()) {
            long lag = newest - row.version();
            lines.add(line(row.node(), row.role(), Long.toString(row.version()), Long.toString(lag), row.reason()));
        }
        silent.forEach((address, reason) -> lines.add(line(address, "?", "?", "?", reason)));
        return lines;
    }

    private void heard(JsonNode versions, String role, String by) {
        versions.properties().forEach(field -> {
            Row known = rows.get(field.getKey());
            long version = field.getValue().asLong();
            newest = Math.max(newest, version);
            if (known == null || (!known.isDirect() && known.version() < version)) {
                rows.put(field.getKey(), new Row(field.getKey(), role, version, "as last heard by " + by, false));
            }
        });
    }

    private static String line(String node, String role, String version, String lag, String reason) {
        return String.format(Locale.ROOT, "%-20s %-6s %9s %4s  %s", node, role, version, lag, reason)
                .stripTrailing();
    }

    private record Row(String node, String role, long version, String reason, boolean isDirect) {}
}
