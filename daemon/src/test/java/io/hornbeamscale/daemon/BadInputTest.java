package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.standin.EngineStandIn;
import io.hornbeamscale.standin.EngineTokens;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid requests, frames and settings that are accepted, answered with a wrong error code, or disturb
 * other requests and connections.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
    private static final String GOOD_BODY = "{\"model\":\"tale\",\"prompt\":\"p\",\"max_tokens\":3}";

    @TempDir
    private static Path directory;

    private final EngineStandIn engine =
            EngineStandIn.builder().tokenMicros(500).build();
    private final HttpClient http = HttpClient.newHttpClient();
    private AgentDaemon agent;
    private InetSocketAddress agentAddress;
    private EntryDaemon entry;
    private InetSocketAddress address;

    @BeforeAll
    void start() throws InterruptedException {
        agent = new AgentDaemon(TestSettings.agent("m0", 0, engine.start(), "model"));
        agentAddress = agent.start();
        entry = new EntryDaemon(
                TestSettings.entry("e0", TestSettings.document(directory, List.of(agentAddress.getPort()), List.of())));
        address = entry.start();
        Await.until("the entry has received the status of the agent", () -> entry.knownAgents() == 1);
    }

    @AfterAll
    void stop() {
        entry.close();
        agent.close();
        engine.close();
    }

    @ParameterizedTest(name = "{0} {1} key {2} header {3} body {4}")
    @CsvSource(
            delimiter = '|',
            value = {
                "POST   | /v1/completions       | none  | -                   | good        | 401 | unauthorized",
                "POST   | /v1/completions       | other | -                   | good        | 401 | unauthorized",
                "GET    | /v1/completions       | good  | -                   | none        | 405 | method_not_allowed",
                "POST   | /v1/elsewhere         | good  | -                   | good        | 404 | not_found",
                "POST   | /v1/services/none/x   | good  | -                   | good        | 404 | not_found",
                "POST   | /v1/completions       | good  | -                   | {           | 400 | bad_request",
                "POST   | /v1/completions       | good  | -                   | []          | 400 | bad_request",
                "POST   | /v1/completions       | good  | -                   | none        | 400 | bad_request",
                "POST   | /v1/completions       | good  | -                   | {}          | 400 | bad_request",
                "POST   | /v1/completions       | good  | -                   | no model    | 404 | not_found",
                "POST   | /v1/completions       | good  | -                   | zero tokens | 400 | bad_request",
                "POST   | /v1/completions       | good  | -                   | many tokens | 400 | bad_request",
                "POST   | /v1/completions       | good  | X-Work-Kind: other  | good        | 400 | bad_request",
                "POST   | /v1/completions       | good  | Last-Event-ID: x    | good        | 400 | bad_request",
                "POST   | /v1/completions       | good  | Last-Event-ID: m0.1.1:5 | good    | 410 | stream_expired",
                "POST   | /v1/completions       | good  | Idempotency-Key: L300 | good      | 400 | bad_request",
                "POST   | /v1/completions       | good  | X-Long: L20000      | good        | 431 | headers_too_large",
                "POST   | /v1/completions       | good  | -                   | L400000     | 413 | payload_too_large",
                "POST   | /v1/services/bookings/book | good | -                | good        | 503 | no_backend",
            })
    void invalidRequestIsRefusedWithStatusAndCode(
            String method, String path, String key, String header, String body, int status, String code)
            throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(path))
                .method(method, body.equals("none") ? noBody() : HttpRequest.BodyPublishers.ofString(body(body)));
        if (!key.equals("none")) {
            request.header("Authorization", "Bearer " + (key.equals("good") ? TestSettings.API_KEY : key));
        }
        if (!header.equals("-")) {
            String[] parts = header.split(": ", 2);
            request.header(parts[0], expand(parts[1]));
        }
        HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(status, response.statusCode(), response.body());
        assertTrue(response.body().startsWith("{\"error\":{\"code\":\"" + code + "\""), response.body());
        assertTrue(response.body().contains("\"request_id\""), response.body());
        assertGoodRequestSucceeds();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"not a request", "length of 2 GB", "length of 0", "not MessagePack", "cut map", "message without type"})
    void malformedFrameClosesOnlyItsConnection(String what) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(agentAddress);
            OutputStream out = socket.getOutputStream();
            out.write(
                    switch (what) {
                        case "not a request" -> "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8);
                        case "length of 2 GB" -> new byte[] {127, -1, -1, -1};
                        case "length of 0" -> new byte[4];
                        case "not MessagePack" -> new byte[] {0, 0, 0, 1, (byte) 0xc1};
                        case "cut map" -> new byte[] {0, 0, 0, 2, (byte) 0x82, (byte) 0xa1};
                        default -> new byte[] {0, 0, 0, 1, (byte) 0x80};
                    });
            out.flush();
            assertEquals(-1, readToEnd(socket.getInputStream()));
        }
        assertGoodRequestSucceeds();
        assertEquals(1, entry.knownAgents());
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "zone              | key 'zone' has no value",
                "listen: nowhere:1 | key 'listen' has value 'nowhere:1'; allowed is an IP address and a port",
                "server: ftp://x   | key 'server' has value 'ftp://x'; allowed is the address of an HTTP server",
                "kind: other       | key 'kind' has value 'other'; allowed is model or plain",
                "maxRunning: 0     | key 'maxRunning' has value '0'; allowed is a whole number from 1 to 100000",
                "colour: red       | key 'colour' has value 'red'; allowed is one of the keys admin, backend",
                "log: xml          | key 'log' has value 'xml'; allowed is text or json",
            })
    void errorOfSettingsNamesFileKeyAndAllowedValues(String change, String message) throws Exception {
        StringBuilder yaml = new StringBuilder();
        String changed = change.contains(":") ? change.substring(0, change.indexOf(':')) : change;
        for (String line : List.of(
                "backend: b",
                "region: r",
                "zone: z",
                "listen: 127.0.0.1:0",
                "admin: 127.0.0.1:0",
                "server: http://127.0.0.1:1",
                "kind: model")) {
            if (!line.startsWith(changed + ":")) {
                yaml.append(line).append('\n');
            }
        }
        yaml.append(change.contains(":") ? change : "");
        Path file = Files.writeString(directory.resolve("agent.yaml"), yaml);
        SettingsException e = assertThrows(SettingsException.class, () -> SettingsFiles.agent(file));
        assertTrue(e.getMessage().startsWith(file + ": " + message), e.getMessage());
    }

    @Test
    void invalidSettingsOrArgumentsExitWithStatus2() {
        assertEquals(
                2,
                Main.run(
                        "agent", "--settings", directory.resolve("missing.yaml").toString()));
        assertEquals(2, Main.run("agent"));
        assertEquals(2, Main.run("nothing"));
        assertEquals(0, Main.run("entry", "--help"));
    }

    private void assertGoodRequestSucceeds() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/v1/completions"))
                .header("Authorization", "Bearer " + TestSettings.API_KEY)
                .POST(HttpRequest.BodyPublishers.ofString(GOOD_BODY))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        assertTrue(response.body().contains(EngineTokens.fullText("p", 3)), response.body());
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + address.getPort() + path);
    }

    private static HttpRequest.BodyPublisher noBody() {
        return HttpRequest.BodyPublishers.noBody();
    }

    private static String body(String name) {
        return switch (name) {
            case "good" -> GOOD_BODY;
            case "no model" -> "{\"model\":\"none\",\"prompt\":\"p\"}";
            case "zero tokens" -> "{\"model\":\"tale\",\"prompt\":\"p\",\"max_tokens\":0}";
            case "many tokens" -> "{\"model\":\"tale\",\"prompt\":\"p\",\"max_tokens\":99999999999}";
            default -> expand(name);
        };
    }

    private static String expand(String text) {
        return text.startsWith("L") ? "x".repeat(Integer.parseInt(text.substring(1))) : text;
    }

    private static int readToEnd(InputStream in) {
        try {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }
}
