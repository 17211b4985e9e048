package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.console.ConsoleSettings;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Reads the keys of a settings file and collects all errors, each with file, key, value and what is allowed. */
final class SettingsReader {
    private final Path file;
    private final JsonNode root;
    private final List<String> errors = new ArrayList<>();
    private final Set<String> knownKeys = new TreeSet<>();

    SettingsReader(Path file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Returns the text of a required key, which must match a pattern. */
    String text(String key, String pattern, String allowed) {
        String value = value(key);
        if (value == null || !value.matches(pattern)) {
            addError(key, value, allowed);
            return "";
        }
        return value;
    }

    /** Returns the text of a key, which must match a pattern, or a default if the key is absent. */
    String text(String key, String pattern, String allowed, String fallback) {
        knownKeys.add(key);
        return root.has(key) ? text(key, pattern, allowed) : fallback;
    }

    /** Returns the address of a required key. */
    InetSocketAddress address(String key) {
        String value = value(key);
        InetSocketAddress address = value == null ? null : Addresses.parse(value);
        if (address == null) {
            addError(key, value, "an IP address and a port from 0 to 65535, such as 127.0.0.1:8080");
            return Addresses.loopback(0);
        }
        return address;
    }

    /** Returns the addresses of a list, empty if the key is absent. */
    List<InetSocketAddress> addresses(String key) {
        knownKeys.add(key);
        List<InetSocketAddress> addresses = new ArrayList<>();
        JsonNode node = root.path(key);
        if (node.isMissingNode()) {
            return addresses;
        }
        if (!node.isArray()) {
            addError(key, node.toString(), "a list of IP addresses with ports");
            return addresses;
        }
        for (JsonNode item : node) {
            InetSocketAddress address = Addresses.parse(item.asText());
            if (address == null) {
                addError(key, item.asText(), "a list of IP addresses with ports, such as 127.0.0.1:8080");
            } else {
                addresses.add(address);
            }
        }
        return addresses;
    }

    /** Returns the URI of an HTTP server, null if it is invalid, or absent and not required. */
    URI uri(String key, boolean isRequired) {
        knownKeys.add(key);
        if (!isRequired && !root.has(key)) {
            return null;
        }
        String value = value(key);
        if (value == null || !value.matches("http://[0-9.]+:[0-9]{1,5}")) {
            addError(key, value, "the address of an HTTP server, such as http://127.0.0.1:9000");
            return null;
        }
        return URI.create(value);
    }

    /** Returns an integer between two limits, both included, or a default if the key is absent. */
    long number(String key, long min, long max, long fallback) {
        knownKeys.add(key);
        if (!root.has(key)) {
            return fallback;
        }
        JsonNode node = root.get(key);
        if (!node.isIntegralNumber() || node.asLong() < min || node.asLong() > max) {
            addError(key, node.asText(), "a whole number from " + min + " to " + max);
            return fallback;
        }
        return node.asLong();
    }

    /** Returns the settings of the console, null if no operators are configured. */
    ConsoleSettings console() {
        knownKeys.add("operators");
        knownKeys.add("sessionSecret");
        if (!root.has("operators")) {
            return null;
        }
        Map<String, String> operators = new LinkedHashMap<>();
        root.get("operators")
                .properties()
                .forEach(e -> operators.put(e.getKey(), e.getValue().asText()));
        try {
            return new ConsoleSettings(operators, root.path("sessionSecret").asText());
        } catch (IllegalArgumentException e) {
            errors.add(file + ": keys 'operators' and 'sessionSecret': " + e.getMessage());
            return null;
        }
    }

    /**
     * Checks that the file has no unknown keys. Must be called after all keys were read.
     *
     * @throws SettingsException with all errors, if there are any
     */
    void check() {
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                addError(name, root.get(name).asText(), "one of the keys " + String.join(", ", knownKeys));
            }
        }
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
    }

    private String value(String key) {
        knownKeys.add(key);
        JsonNode node = root.path(key);
        return node.isValueNode() && !node.isNull() ? node.asText() : null;
    }

    private void addError(String key, String value, String allowed) {
        String shown = value == null ? "no value" : "value '" + value + "'";
        errors.add(file + ": key '" + key + "' has " + shown + "; allowed is " + allowed);
    }
}
