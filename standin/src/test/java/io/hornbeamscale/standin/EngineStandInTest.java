package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against streams of the stand-in that lose, repeat or mix tokens, which would hide such faults in agents. */
class EngineStandInTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private final EngineStandIn engine = EngineStandIn.builder()
            .tokenMicros(500)
            .memoryTokens(200)
            .crashMarker("poison")
            .build();
    private final InetSocketAddress address = engine.start();

    @AfterEach
    void stop() {
        engine.close();
    }

    @Nested
    class Stream {
        @Test
        void carriesEveryTokenOnceAndInOrder() throws Exception {
            HttpResponse<String> response = post("/v1/completions", body("a b c", 20, true));
            assertEquals(expected("a b c", 0, 20), texts(response.body()));
            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
            assertTrue(response.headers().firstValue("X-Stream-Id").isPresent());
        }

        @ParameterizedTest
        @CsvSource({"0", "7", "19", "20"})
        void resumesFromAnOffset(int from) throws Exception {
            String id = post("/v1/completions", body("p", 20, true))
                    .headers()
                    .firstValue("X-Stream-Id")
                    .orElseThrow();
            HttpResponse<String> response = get("/v1/streams/" + id + "?from=" + from);
            assertEquals(expected("p", from, 20), texts(response.body()));
        }

        @Test
        void keepsConcurrentStreamsApartUnderPreemption() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> pending = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                pending.add(client.sendAsync(
                        request("/v1/completions", body("prompt " + i, 60, true)),
                        HttpResponse.BodyHandlers.ofString()));
            }
            for (int i = 0; i < pending.size(); i++) {
                assertEquals(
                        expected("prompt " + i, 0, 60),
                        texts(pending.get(i).get().body()));
            }
            assertTrue(engine.preemptions() > 0);
        }

        @Test
        void sendsItsIdBeforeItsFirstToken() throws Exception {
            engine.faults().arm(new StandInFault.Stall(0), 1);
            HttpResponse<InputStream> response = client.send(
                    request("/v1/completions", body("p", 20, true)), HttpResponse.BodyHandlers.ofInputStream());
            assertTrue(response.headers().firstValue("X-Stream-Id").isPresent());
            response.body().close();
        }

        @Test
        void closesItsConnectionIfItAborts() {
            engine.faults().arm(new StandInFault.CloseMidResponse(3), 1);
            assertThrows(IOException.class, () -> post("/v1/completions", body("p", 20, true)));
        }

        @Test
        void isCancelledByDelete() throws Exception {
            engine.faults().arm(new StandInFault.Stall(2), 1);
            var pending = client.sendAsync(
                    request("/v1/completions", body("p", 20, true)), HttpResponse.BodyHandlers.ofString());
            while (engine.liveStreams() == 0) {
                Thread.onSpinWait();
            }
            String id = StandInJson.parse(get("/v1/streams").body())
                    .path("streams")
                    .get(0)
                    .path("id")
                    .asText();
            HttpResponse<String> response = client.send(
                    HttpRequest.newBuilder(uri("/v1/streams/" + id)).DELETE().build(),
                    HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
            assertEquals(0, engine.liveStreams());
            assertThrows(Exception.class, pending::get);
        }
    }

    @Nested
    class Crash {
        @Test
        void isCausedByTheMarkerInAPromptAndLosesAllStreams() throws Exception {
            assertThrows(IOException.class, () -> post("/v1/completions", body("poison", 5, true)));
            assertTrue(engine.isDown());
            engine.recover();
            assertEquals(200, post("/v1/completions", body("p", 5, false)).statusCode());
        }
    }

    @Nested
    class Commands {
        @ParameterizedTest
        @CsvSource({"true, 409", "false, 200"})
        void areFencedIfConfigured(boolean checksFencing, int status) throws Exception {
            try (EngineStandIn other =
                    EngineStandIn.builder().checksFencing(checksFencing).build()) {
                URI uri = URI.create("http://127.0.0.1:" + other.start().getPort() + "/orders");
                assertEquals(200, execute(uri, 5, "v2").statusCode());
                assertEquals(status, execute(uri, 4, "v1").statusCode());
                assertEquals(1, other.staleCommands());
            }
        }

        private HttpResponse<String> execute(URI uri, long fence, String version) throws Exception {
            String text =
                    "{\"fence\":" + fence + ",\"kind\":\"load_model\",\"name\":\"m\",\"version\":\"" + version + "\"}";
            return client.send(
                    HttpRequest.newBuilder(uri)
                            .POST(HttpRequest.BodyPublishers.ofString(text))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
        }
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + address.getPort() + path);
    }

    private HttpRequest request(String path, String body) {
        return HttpRequest.newBuilder(uri(path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return client.send(request(path, body), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(String path) throws Exception {
        return client.send(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String body(String prompt, int maxTokens, boolean isStreamed) {
        return "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens + ",\"stream\":" + isStreamed + "}";
    }

    private static List<String> expected(String prompt, int from, int to) {
        List<String> texts = new ArrayList<>();
        for (int i = from; i < to; i++) {
            texts.add(EngineTokens.tokenText(prompt, i));
        }
        return texts;
    }

    private static List<String> texts(String events) {
        List<String> texts = new ArrayList<>();
        for (String line : events.split("\n", -1)) {
            if (line.startsWith("data: {")) {
                JsonNode node = StandInJson.parse(line.substring("data: ".length()));
                texts.add(node.path("choices").get(0).path("text").asText());
            }
        }
        return texts;
    }
}
