package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.standin.EngineStandIn;
import io.hornbeamscale.standin.EngineTokens;
import io.hornbeamscale.standin.PlainStandIn;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against faults on the path of a request from caller through entry and agent to backend server and back. */
class EndToEndTest {
    @TempDir
    private Path directory;

    private final EngineStandIn engine =
            EngineStandIn.builder().tokenMicros(500).build();
    private final PlainStandIn plain = PlainStandIn.builder().build();
    private final HttpClient http = HttpClient.newHttpClient();
    private AgentDaemon modelAgent;
    private AgentDaemon plainAgent;
    private EntryDaemon entry;
    private URI baseUri;

    @BeforeEach
    void start() throws InterruptedException {
        modelAgent = new AgentDaemon(TestSettings.agent("m0", 0, engine.start(), "model"));
        plainAgent = new AgentDaemon(TestSettings.agent("p0", 0, plain.start(), "plain"));
        int modelPort = modelAgent.start().getPort();
        int plainPort = plainAgent.start().getPort();
        entry = new EntryDaemon(
                TestSettings.entry("e0", TestSettings.document(directory, List.of(modelPort), List.of(plainPort))));
        InetSocketAddress address = entry.start();
        baseUri = URI.create("http://127.0.0.1:" + address.getPort());
        Await.until("the entry has received the status of both agents", () -> entry.knownAgents() == 2);
    }

    @AfterEach
    void stop() {
        entry.close();
        modelAgent.close();
        plainAgent.close();
        engine.close();
        plain.close();
    }

    @Test
    void streamedResponseHasEveryTokenOnceAndInOrder() throws Exception {
        HttpResponse<String> response =
                complete("{\"model\":\"tale\",\"prompt\":\"a b\",\"max_tokens\":300,\"stream\":true}");
        assertEquals(200, response.statusCode(), response.body());
        ReceivedStream stream = ReceivedStream.parse(response.body());
        assertEquals(EngineTokens.fullText("a b", 300), stream.text());
        assertEquals(300, stream.tokens());
        assertTrue(stream.isDone());
    }

    @Test
    void nonStreamedResponseHasEveryToken() throws Exception {
        HttpResponse<String> response = complete("{\"model\":\"tale\",\"prompt\":\"c\",\"max_tokens\":40}");
        assertEquals(200, response.statusCode(), response.body());
        assertTrue(response.body().contains(EngineTokens.fullText("c", 40)), response.body());
    }

    @Test
    void plainCallReachesTheServiceOnce() throws Exception {
        HttpRequest request = request("/v1/services/bookings/book/7?x=1")
                .header("X-Call-Id", "call-1")
                .POST(HttpRequest.BodyPublishers.ofString("seat 4"))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(200, response.statusCode(), response.body());
        assertTrue(response.body().contains("\"body\":\"seat 4\""), response.body());
        assertEquals(1, plain.executions("call-1"));
    }

    private HttpResponse<String> complete(String body) throws Exception {
        HttpRequest request = request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(baseUri.resolve(path)).header("Authorization", "Bearer " + TestSettings.API_KEY);
    }
}
