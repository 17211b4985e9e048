package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentReadResult;
import io.hornbeamscale.core.document.DocumentYaml;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads settings and documents of the daemons from YAML files. */
final class SettingsFiles {
    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9_-]{0,62}";
    private static final String NAME_ALLOWED = "1 to 63 letters, digits, hyphens or underscores";

    private SettingsFiles() {}

    static EntrySettings entry(Path file) {
        SettingsReader settings = read(file);
        EntrySettings entry = new EntrySettings(
                settings.text("node", NAME, NAME_ALLOWED),
                settings.text("region", NAME, NAME_ALLOWED),
                settings.text("zone", NAME, NAME_ALLOWED),
                settings.address("listen"),
                settings.address("admin"),
                settings.address("frames"),
                settings.addresses("peers"),
                settings.text("storeRegion", NAME, NAME_ALLOWED, settings.text("region", NAME, NAME_ALLOWED, "none")),
                settings.console(),
                settings.uri("store", false),
                settings.uri("vmList", false),
                document(settings),
                (int) settings.number("maxHeaderBytes", 1_024, 1 << 20, 32 * 1024),
                (int) settings.number("maxConnections", 1, 1_000_000, 20_000),
                format(settings));
        settings.check();
        return entry;
    }

    static AgentSettings agent(Path file) {
        SettingsReader settings = read(file);
        AgentSettings agent = new AgentSettings(
                settings.text("backend", NAME, NAME_ALLOWED),
                settings.text("region", NAME, NAME_ALLOWED),
                settings.text("zone", NAME, NAME_ALLOWED),
                settings.address("listen"),
                settings.address("admin"),
                settings.uri("server", true),
                settings.text("kind", "model|plain", "model or plain"),
                settings.number("memoryTokens", 0, 1_000_000_000L, 100_000),
                (int) settings.number("maxRunning", 1, 100_000, 64),
                settings.uri("store", false),
                document(settings),
                format(settings));
        settings.check();
        return agent;
    }

    /** Reads and validates a document file. */
    static Document document(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot read the document: " + reason(e)));
        }
        DocumentReadResult result = DocumentYaml.read(text);
        if (!result.isValid()) {
            throw new SettingsException(
                    result.problems().stream().map(p -> file + ": " + p.text()).toList());
        }
        return result.document();
    }

    private static Path document(SettingsReader settings) {
        String text = settings.text("document", ".+", "the path of a document file", "");
        return text.isEmpty() ? null : Path.of(text);
    }

    private static String format(SettingsReader settings) {
        return settings.text("log", "text|json", "text or json", "text");
    }

    private static SettingsReader read(Path file) {
        try {
            JsonNode root = YAML.readTree(Files.readAllBytes(file));
            if (root == null || !root.isObject()) {
                throw new SettingsException(List.of(file + ": the file must hold a map of settings"));
            }
            return new SettingsReader(file, root);
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot read the settings: " + reason(e)));
        }
    }

    private static String reason(IOException e) {
        if (e instanceof JsonProcessingException json) {
            return json.getOriginalMessage();
        }
        return e.toString();
    }
}
