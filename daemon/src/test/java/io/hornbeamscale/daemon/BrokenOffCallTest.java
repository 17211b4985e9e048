package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.platform.ScriptedBackend;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a plain service's response that breaks off in its head or body and that an agent passes on as whole.
 */
class BrokenOffCallTest {
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello";
    private static final int CUT_STEP = 3;

    @TempDir
    private Path directory;

    private final HttpClient http = HttpClient.newHttpClient();
    private final AtomicInteger cut = new AtomicInteger();
    private ScriptedBackend server;
    private AgentDaemon agent;
    private EntryDaemon entry;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        server = new ScriptedBackend((request, out, connection) -> {
            ScriptedBackend.write(out, RESPONSE.substring(0, cut.get()));
            connection.close();
        });
        agent = new AgentDaemon(TestSettings.agent(
                "p0", 0, TestSettings.loopback(server.endpoint().port()), "plain"));
        Path document = TestSettings.document(
                directory, List.of(), List.of(agent.start().getPort()));
        entry = new EntryDaemon(TestSettings.entry("e0", document));
        address = entry.start();
        Await.until("the entry has received the status of the agent", () -> entry.knownAgents() == 1);
    }

    @AfterEach
    void stop() throws IOException {
        entry.close();
        agent.close();
        server.close();
    }

    @Test
    void isReportedAsUnknownOutcome() throws Exception {
        for (int i = 0; i < RESPONSE.length(); i += CUT_STEP) {
            cut.set(i);
            assertEquals(502, book().statusCode(), i + " of " + RESPONSE.length() + " bytes");
        }
        cut.set(RESPONSE.length() - 1);
        assertEquals(502, book().statusCode());
        cut.set(RESPONSE.length());
        assertEquals(200, book().statusCode());
    }

    private HttpResponse<String> book() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + Addresses.format(address) + "/v1/services/bookings/book"))
                .header("Authorization", "Bearer " + TestSettings.API_KEY)
                .POST(HttpRequest.BodyPublishers.ofString("seat"))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
