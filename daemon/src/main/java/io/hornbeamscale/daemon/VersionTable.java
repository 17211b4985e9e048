package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A table of the document version in force at each node, with the nodes that lag behind and the reasons. */
final class VersionTable {
    private final Map<String, Row> rows = new TreeMap<>();
    private final Map<String, String> unreachable = new LinkedHashMap<>();
    private long newestVersion;

    /**
     * Adds a node's status and what it reports about other nodes. A node's own status takes precedence over reports.
     */
    void add(JsonNode status) {
        String role = status.path("role").asText();
        String node = status.path(role.equals("entry") ? "node" : "backend").asText();
        long version = status.path("config_version").asLong();
        newestVersion = Math.max(
                newestVersion, Math.max(version, status.path("newest_version").asLong()));
        boolean isDraining = status.path("draining").asBoolean();
        String problem = status.path("problem").asText();
        String reason = isDraining ? (problem.isEmpty() ? "draining" : problem + "; draining") : problem;
        rows.put(node, new Row(node, role, version, reason, true));
        addReported(status.path("entry_versions"), "entry", node);
        addReported(status.path("agent_versions"), "agent", node);
    }

    /** Adds a node whose status could not be fetched. */
    void addUnreachable(String address, String reason) {
        unreachable.put(address, reason);
    }

    /** Returns the rows as maps, for JSON. */
    List<Map<String, Object>> fields() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Row row : rows.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("node", row.node());
            fields.put("role", row.role());
            fields.put("config_version", row.version());
            fields.put("behind", newestVersion - row.version());
            fields.put("reason", row.reason());
            list.add(fields);
        }
        unreachable.forEach((address, reason) -> list.add(Map.of("address", address, "reason", reason)));
        return list;
    }

    /** Returns the rows as lines. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(line("NODE", "ROLE", "IN FORCE", "LAG", "REASON"));
        for (Row row : rows.values()) {
            long lag = newestVersion - row.version();
            lines.add(line(row.node(), row.role(), Long.toString(row.version()), Long.toString(lag), row.reason()));
        }
        unreachable.forEach((address, reason) -> lines.add(line(address, "?", "?", "?", reason)));
        return lines;
    }

    private void addReported(JsonNode versions, String role, String reporter) {
        versions.properties().forEach(field -> {
            Row known = rows.get(field.getKey());
            long version = field.getValue().asLong();
            newestVersion = Math.max(newestVersion, version);
            if (known == null || (!known.isOwnStatus() && known.version() < version)) {
                rows.put(field.getKey(), new Row(field.getKey(), role, version, "as last heard by " + reporter, false));
            }
        });
    }

    private static String line(String node, String role, String version, String lag, String reason) {
        return String.format(Locale.ROOT, "%-20s %-6s %9s %4s  %s", node, role, version, lag, reason)
                .stripTrailing();
    }

    private record Row(String node, String role, long version, String reason, boolean isOwnStatus) {}
}
