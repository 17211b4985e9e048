package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.standin.EngineTokens;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lost, repeated or mixed tokens and against second executions when a process is killed at a step of a
 * request (guarantees G1, G2, G4 and G6).
 */
@Timeout(240)
class KillTest {
    private static final int TOKENS = 600;

    @TempDir
    private Path directory;

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site(directory, 2_000);
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    @ParameterizedTest(name = "{0} killed {1}")
    @CsvSource({
        "entry, after the first tokens",
        "agent, before the first token",
        "agent, after the first tokens",
        "engine, before the first token",
        "engine, after the first tokens",
    })
    void streamingCaller(String victim, String step) throws Exception {
        boolean isLate = step.equals("after the first tokens");
        String prompt = "tell " + victim;
        if (!isLate) {
            site.engines[0].setTokenMicros(400_000);
            site.engines[1].setTokenMicros(400_000);
        }
        StreamCall call = StreamCall.start(site.http(), completion(0, prompt, true));
        if (isLate) {
            call.awaitTokens(50);
        } else {
            Await.until("the request runs", () -> site.engines[0].liveStreams() + site.engines[1].liveStreams() > 0);
        }
        int busy = site.busyEngine();
        switch (victim) {
            case "entry" -> site.processes.kill("e0");
            case "agent" -> site.processes.kill("m" + busy);
            default -> site.engines[busy].crash();
        }
        if (victim.equals("agent") && isLate) {
            // The restarted agent finds the stream only while the engine still runs it.
            site.engines[busy].setTokenMicros(10_000);
            site.processes.restart("m" + busy);
        } else {
            site.engines[0].setTokenMicros(500);
            site.engines[1].setTokenMicros(500);
        }
        StreamText text = call.await();
        String whole = EngineTokens.fullText(prompt, TOKENS);
        assertTrue(whole.startsWith(text.text()), "the tokens received are the first ones, in order");
        if (victim.equals("entry")) {
            assertTrue(call.isBroken(), "the caller sees that the response is incomplete");
            StreamText rest = resume(1, text.lastId(), prompt);
            assertEquals(whole, text.text() + rest.text());
            assertTrue(rest.isDone());
        } else if (victim.equals("engine") && isLate) {
            assertFalse(text.isDone());
            assertTrue(
                    text.errors().get(0).contains("generation_lost"),
                    text.errors().toString());
            assertTrue(text.errors().get(0).contains("\"ran\""), text.errors().toString());
        } else {
            assertEquals(whole, text.text());
            assertTrue(text.isDone());
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"agent", "engine"})
    void wholeResponseIsCompleteAfterTheLossOf(String victim) throws Exception {
        CompletableFuture<HttpResponse<String>> future =
                site.http().sendAsync(completion(0, "whole", false), HttpResponse.BodyHandlers.ofString());
        Await.until("the request runs", () -> site.engines[0].liveStreams() + site.engines[1].liveStreams() > 0);
        int busy = site.busyEngine();
        if (victim.equals("agent")) {
            site.processes.kill("m" + busy);
        } else {
            site.engines[busy].crash();
        }
        HttpResponse<String> response = future.get();
        assertEquals(200, response.statusCode(), response.body());
        assertTrue(response.body().contains(EngineTokens.fullText("whole", TOKENS)), response.body());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"entry", "agent"})
    void keyedCallIsExecutedOnceWhenTheProcessDies(String victim) throws Exception {
        CompletableFuture<HttpResponse<String>> first =
                site.http().sendAsync(booking(0, "key-1"), HttpResponse.BodyHandlers.ofString());
        Await.until("the call runs", () -> site.plain.executions("key-1") > 0);
        site.processes.kill(victim.equals("entry") ? "e0" : "p0");
        if (victim.equals("agent")) {
            site.awaitAgents(1, 2);
            site.processes.restart("p0");
            site.awaitAgents(1, 3);
            assertTrue(
                    first.get().body().contains("\"outcome\":\"unknown\""),
                    first.get().body());
        }
        HttpResponse<String> again = site.http().send(booking(1, "key-1"), HttpResponse.BodyHandlers.ofString());
        assertEquals(1, site.plain.executions("key-1"), again.body());
        if (victim.equals("entry")) {
            assertEquals(200, again.statusCode(), again.body());
        } else {
            assertTrue(again.body().contains("\"outcome\":\"unknown\""), again.body());
        }
    }

    @Test
    void repeatedKeyIsAnsweredWithTheFirstResult() throws Exception {
        HttpResponse<String> first = site.http().send(booking(0, "key-2"), HttpResponse.BodyHandlers.ofString());
        HttpResponse<String> again = site.http().send(booking(1, "key-2"), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, first.statusCode(), first.body());
        assertEquals(first.body(), again.body());
        assertEquals(1, site.plain.executions("key-2"));
    }

    @Test
    void hangingUpCancelsTheGeneration() throws Exception {
        StreamCall call = StreamCall.start(site.http(), completion(0, "hang up", true));
        call.awaitTokens(5);
        call.hangUp();
        Await.until("the engine is idle", () -> site.engines[0].liveStreams() + site.engines[1].liveStreams() == 0);
        assertTrue(call.await().tokens() < TOKENS);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"entry", "agent"})
    void gracefulStopTruncatesNoResponse(String role) throws Exception {
        StreamCall streamed = StreamCall.start(site.http(), completion(0, "stop", true));
        CompletableFuture<HttpResponse<String>> whole =
                site.http().sendAsync(completion(0, "stop whole", false), HttpResponse.BodyHandlers.ofString());
        streamed.awaitTokens(20);
        String name = role.equals("entry") ? "e0" : "m" + site.busyEngine();
        site.processes.terminate(name);
        assertEquals(EngineTokens.fullText("stop", TOKENS), streamed.await().text());
        assertTrue(whole.get().body().contains(EngineTokens.fullText("stop whole", TOKENS)));
        assertEquals(0, site.processes.await(name), site.processes.log(name));
    }

    private HttpRequest completion(int entry, String prompt, boolean isStreaming) {
        String body = "{\"model\":\"tale\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + TOKENS + ",\"stream\":"
                + isStreaming + "}";
        return site.request(entry, "/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest booking(int entry, String key) {
        return site.request(entry, "/v1/services/bookings/book")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("seat 9"))
                .build();
    }

    private StreamText resume(int entry, String lastId, String prompt) throws Exception {
        String body = "{\"model\":\"tale\",\"prompt\":\"" + prompt + "\",\"stream\":true}";
        HttpRequest request = site.request(entry, "/v1/completions")
                .header("Last-Event-ID", lastId)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return StreamCall.start(site.http(), request).await();
    }
}
