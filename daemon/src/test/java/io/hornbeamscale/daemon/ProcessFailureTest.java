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
 * Guards against lost, duplicated or mixed tokens and against a second execution of calls that must not be repeated,
 * when an entry, an agent or an engine is killed or stopped while it handles a request (guarantees G1, G2, G4 and G6).
 */
@Timeout(240)
class ProcessFailureTest {
    private static final int TOKENS = 600;

    @TempDir
    private Path directory;

    private ProcessDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new ProcessDeployment(directory, 2_000);
    }

    @AfterEach
    void stop() throws Exception {
        deployment.close();
    }

    @ParameterizedTest(name = "{0} killed {1}")
    @CsvSource({
        "entry, after the first tokens",
        "agent, before the first token",
        "agent, after the first tokens",
        "engine, before the first token",
        "engine, after the first tokens",
    })
    void streamedTokensArriveOnceAndInOrderAfterAKill(String victim, String step) throws Exception {
        boolean isLate = step.equals("after the first tokens");
        String prompt = "tell " + victim;
        if (!isLate) {
            deployment.engines[0].setTokenMicros(400_000);
            deployment.engines[1].setTokenMicros(400_000);
        }
        StreamCall call = StreamCall.start(deployment.http(), completion(0, prompt, true));
        if (isLate) {
            call.awaitTokens(50);
        } else {
            Await.until(
                    "the request runs",
                    () -> deployment.engines[0].liveStreams() + deployment.engines[1].liveStreams() > 0);
        }
        int busy = deployment.busyEngine();
        switch (victim) {
            case "entry" -> deployment.processes.kill("e0");
            case "agent" -> deployment.processes.kill("m" + busy);
            default -> deployment.engines[busy].crash();
        }
        if (victim.equals("agent") && isLate) {
            // The engine is slowed down, since the restarted agent can recover the stream only while the engine runs
            // it.
            deployment.engines[busy].setTokenMicros(10_000);
            deployment.processes.restart("m" + busy);
        } else {
            deployment.engines[0].setTokenMicros(500);
            deployment.engines[1].setTokenMicros(500);
        }
        ReceivedStream received = call.await();
        String whole = EngineTokens.fullText(prompt, TOKENS);
        assertTrue(whole.startsWith(received.text()), "the received tokens are a prefix of the response");
        if (victim.equals("entry")) {
            assertTrue(call.isBroken(), "the caller can tell that the response is incomplete");
            ReceivedStream rest = resume(1, received.lastId(), prompt);
            assertEquals(whole, received.text() + rest.text());
            assertTrue(rest.isDone());
        } else if (victim.equals("engine") && isLate) {
            assertFalse(received.isDone());
            assertTrue(
                    received.errors().get(0).contains("generation_lost"),
                    received.errors().toString());
            assertTrue(
                    received.errors().get(0).contains("\"ran\""),
                    received.errors().toString());
        } else {
            assertEquals(whole, received.text());
            assertTrue(received.isDone());
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"agent", "engine"})
    void nonStreamedResponseIsCompleteAfterTheLossOf(String victim) throws Exception {
        CompletableFuture<HttpResponse<String>> future =
                deployment.http().sendAsync(completion(0, "whole", false), HttpResponse.BodyHandlers.ofString());
        Await.until(
                "the request runs",
                () -> deployment.engines[0].liveStreams() + deployment.engines[1].liveStreams() > 0);
        int busy = deployment.busyEngine();
        if (victim.equals("agent")) {
            deployment.processes.kill("m" + busy);
        } else {
            deployment.engines[busy].crash();
        }
        HttpResponse<String> response = future.get();
        assertEquals(200, response.statusCode(), response.body());
        assertTrue(response.body().contains(EngineTokens.fullText("whole", TOKENS)), response.body());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"entry", "agent"})
    void keyedCallIsExecutedOnceWhenAProcessIsKilled(String victim) throws Exception {
        CompletableFuture<HttpResponse<String>> first =
                deployment.http().sendAsync(booking(0, "key-1"), HttpResponse.BodyHandlers.ofString());
        Await.until("the call runs", () -> deployment.plain.executions("key-1") > 0);
        deployment.processes.kill(victim.equals("entry") ? "e0" : "p0");
        if (victim.equals("agent")) {
            deployment.awaitAgents(1, 2);
            deployment.processes.restart("p0");
            deployment.awaitAgents(1, 3);
            assertTrue(
                    first.get().body().contains("\"outcome\":\"unknown\""),
                    first.get().body());
        }
        HttpResponse<String> again = deployment.http().send(booking(1, "key-1"), HttpResponse.BodyHandlers.ofString());
        assertEquals(1, deployment.plain.executions("key-1"), again.body());
        if (victim.equals("entry")) {
            assertEquals(200, again.statusCode(), again.body());
        } else {
            assertTrue(again.body().contains("\"outcome\":\"unknown\""), again.body());
        }
    }

    @Test
    void repeatedKeyIsAnsweredWithTheFirstResult() throws Exception {
        HttpResponse<String> first = deployment.http().send(booking(0, "key-2"), HttpResponse.BodyHandlers.ofString());
        HttpResponse<String> again = deployment.http().send(booking(1, "key-2"), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, first.statusCode(), first.body());
        assertEquals(first.body(), again.body());
        assertEquals(1, deployment.plain.executions("key-2"));
    }

    @Test
    void callerDisconnectCancelsTheGeneration() throws Exception {
        StreamCall call = StreamCall.start(deployment.http(), completion(0, "hang up", true));
        call.awaitTokens(5);
        call.disconnect();
        Await.until(
                "the engine is idle",
                () -> deployment.engines[0].liveStreams() + deployment.engines[1].liveStreams() == 0);
        assertTrue(call.await().tokens() < TOKENS);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"entry", "agent"})
    void gracefulStopTruncatesNoResponse(String role) throws Exception {
        StreamCall streamed = StreamCall.start(deployment.http(), completion(0, "stop", true));
        CompletableFuture<HttpResponse<String>> whole =
                deployment.http().sendAsync(completion(0, "stop whole", false), HttpResponse.BodyHandlers.ofString());
        streamed.awaitTokens(20);
        String name = role.equals("entry") ? "e0" : "m" + deployment.busyEngine();
        deployment.processes.terminate(name);
        assertEquals(EngineTokens.fullText("stop", TOKENS), streamed.await().text());
        assertTrue(whole.get().body().contains(EngineTokens.fullText("stop whole", TOKENS)));
        assertEquals(0, deployment.processes.await(name), deployment.processes.log(name));
    }

    private HttpRequest completion(int entry, String prompt, boolean isStreaming) {
        String body = "{\"model\":\"tale\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + TOKENS + ",\"stream\":"
                + isStreaming + "}";
        return deployment
                .request(entry, "/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest booking(int entry, String key) {
        return deployment
                .request(entry, "/v1/services/bookings/book")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("seat 9"))
                .build();
    }

    private ReceivedStream resume(int entry, String lastId, String prompt) throws Exception {
        String body = "{\"model\":\"tale\",\"prompt\":\"" + prompt + "\",\"stream\":true}";
        HttpRequest request = deployment
                .request(entry, "/v1/completions")
                .header("Last-Event-ID", lastId)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return StreamCall.start(deployment.http(), request).await();
    }
}
