package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
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
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls that a backend server has run and that an agent, going by the status alone, reports as not run.
 */
class NotRunStatementTest {
    private static final String COMPLETION = "{\"model\":\"tale\",\"prompt\":\"p\",\"max_tokens\":3}";

    @TempDir
    private Path directory;

    private final AtomicInteger calls = new AtomicInteger();
    private volatile int status;
    private volatile boolean statesNotRun;
    private HttpServer server;
    private AgentDaemon model;
    private AgentDaemon plain;
    private EntryDaemon entry;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        server = HttpServer.create(TestSettings.loopback(0), 0);
        server.createContext("/", exchange -> {
            if (exchange.getRequestMethod().equals("POST")) {
                calls.incrementAndGet();
                if (statesNotRun) {
                    exchange.getResponseHeaders().add("X-Not-Run", "1");
                }
                exchange.sendResponseHeaders(status, -1);
            } else {
                exchange.sendResponseHeaders(404, -1);
            }
            exchange.close();
        });
        server.start();
        model = new AgentDaemon(TestSettings.agent("m0", 0, server.getAddress(), "model"));
        plain = new AgentDaemon(TestSettings.agent("p0", 0, server.getAddress(), "plain"));
        List<Integer> modelPorts = List.of(model.start().getPort());
        List<Integer> plainPorts = List.of(plain.start().getPort());
        entry = new EntryDaemon(TestSettings.entry("e0", TestSettings.document(directory, modelPorts, plainPorts)));
        address = entry.start();
        Await.until("the entry has received the status of both agents", () -> entry.knownAgents() == 2);
    }

    @AfterEach
    void stop() {
        entry.close();
        model.close();
        plain.close();
        server.stop(0);
    }

    @ParameterizedTest(name = "{0} answered with {1}, states not run: {2}")
    @CsvSource({
        "/v1/services/bookings/book,503,false,502,unknown",
        "/v1/services/bookings/book,429,false,502,unknown",
        "/v1/services/bookings/book,500,false,500,",
        "/v1/services/bookings/book,503,true,503,",
        "/v1/completions,503,false,502,unknown",
        "/v1/completions,429,false,502,unknown",
        "/v1/completions,503,true,503,not_run",
    })
    void decidesTheOutcome(String path, int answered, boolean isStated, int expected, String outcome) throws Exception {
        status = answered;
        statesNotRun = isStated;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + Addresses.format(address) + path))
                .header("Authorization", "Bearer " + TestSettings.API_KEY)
                .header("X-Deadline-Ms", "1500")
                .POST(HttpRequest.BodyPublishers.ofString(COMPLETION))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(expected, response.statusCode(), response.body());
        assertTrue(outcome == null || response.body().contains("\"outcome\":\"" + outcome + "\""), response.body());
        assertTrue(calls.get() >= 1);
    }
}
