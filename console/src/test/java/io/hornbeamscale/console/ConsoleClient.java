package io.hornbeamscale.console;

import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.TrailLimits;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentYaml;
import io.hornbeamscale.external.FakeKeyValueStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client for tests that uses the console like a browser without scripts. */
final class ConsoleClient {
    static final String PASSWORD = "correct horse";
    static final String HASH = PasswordHash.create(PASSWORD, new SecureRandom(), PasswordHash.MIN_ITERATIONS);
    private static final Pattern HIDDEN_FIELD =
            Pattern.compile("<input type=\"hidden\" name=\"([^\"]+)\" value=\"([^\"]*)\">");

    final FakeKeyValueStore store = new FakeKeyValueStore(() -> 0);
    final Console console;
    long now = 1_000_000;
    String cookie;
    ConsoleResponse last;

    ConsoleClient() {
        ConsoleSettings settings = new ConsoleSettings(Map.of("nadia", HASH), "0123456789abcdef0123456789abcdef");
        console = new Console(settings, new BlockingStoreClient(store), new SecureRandom());
    }

    static Document toursDocument() {
        try {
            return DocumentYaml.read(Files.readString(Path.of("../examples/tours.yaml")))
                    .document();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Publishes a document as another operator. */
    PublishResult publish(long expect, Document document) {
        PublishRequest request =
                new PublishRequest("w-" + expect, "omar", "test", now, "by omar", expect, document, 0, true);
        return new BlockingStoreClient(store).run(new PublishController(request, TrailLimits.STORE, new Random(5)));
    }

    ConsoleClient signIn() {
        post("/console/login", Map.of("operator", "nadia", "password", PASSWORD, "next", "/console/"));
        return this;
    }

    ConsoleResponse get(String path) {
        return send(new ConsoleRequest("GET", path, Map.of(), cookie, "10.0.0.9", false));
    }

    ConsoleResponse post(String path, Map<String, String> fields) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        fields.forEach((name, value) -> all.put(name, List.of(value)));
        return send(new ConsoleRequest("POST", path, all, cookie, "10.0.0.9", false));
    }

    ConsoleResponse send(ConsoleRequest request) {
        last = console.handle(request, now);
        if (last.cookie() != null) {
            cookie = last.cookie().isEmpty() ? null : last.cookie();
        }
        return last;
    }

    /** Submits the hidden fields of the last page together with the given input; a field may have several values. */
    ConsoleResponse submit(String path, Map<String, List<String>> input) {
        Map<String, List<String>> fields = hiddenFields();
        fields.putAll(input);
        return send(new ConsoleRequest("POST", path, fields, cookie, "10.0.0.9", false));
    }

    Map<String, List<String>> hiddenFields() {
        Map<String, List<String>> fields = new LinkedHashMap<>();
        Matcher matcher = HIDDEN_FIELD.matcher(last.body());
        while (matcher.find()) {
            if (!matcher.group(1).equals("csrf") || !fields.containsKey("csrf")) {
                fields.merge(matcher.group(1), List.of(matcher.group(2)), (a, b) -> {
                    List<String> merged = new ArrayList<>(a);
                    merged.addAll(b);
                    return merged;
                });
            }
        }
        return fields;
    }
}
