package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against execution counts that do not match the executions that a fault allows. */
class PlainStandInTest {
    private static final int FAILED = -1;

    private final HttpClient client = HttpClient.newHttpClient();
    private final PlainStandIn service = PlainStandIn.builder().build();
    private final InetSocketAddress address = service.start();

    @AfterEach
    void stop() {
        service.close();
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of(new StandInFault.DelayRequest(5), 200, 1),
                Arguments.of(new StandInFault.DelayResponse(5), 200, 1),
                Arguments.of(new StandInFault.Refuse(503), 503, 0),
                Arguments.of(new StandInFault.LoseResponse(), FAILED, 1),
                Arguments.of(new StandInFault.CloseMidResponse(0), FAILED, 1));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void countsExecutions(StandInFault fault, int status, int executions) throws Exception {
        service.faults().arm(fault, 1);
        assertEquals(status, statusOf(call("c1")));
        assertEquals(executions, service.executions("c1"));
        assertEquals(200, statusOf(call("c1")));
        assertEquals(executions + 1, service.executions("c1"));
    }

    @Test
    void swapsTwoResponses() throws Exception {
        service.faults().arm(new StandInFault.SwapResponses(), 2);
        var first = call("c1");
        var second = call("c2");
        assertEquals("c2", first.get().headers().firstValue("X-Call-Id").orElseThrow());
        assertEquals("c1", second.get().headers().firstValue("X-Call-Id").orElseThrow());
    }

    private CompletableFuture<HttpResponse<String>> call(String id) {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/bookings");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("X-Call-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static int statusOf(CompletableFuture<HttpResponse<String>> pending) throws InterruptedException {
        try {
            return pending.get().statusCode();
        } catch (ExecutionException e) {
            return FAILED;
        }
    }
}
