package io.hornbeamscale.external;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Sends HTTP requests to one server with retries, jittered pauses between them, and timeouts of attempts and calls. */
final class RetryingHttpClient {
    private final PlatformIo io;
    private final URI base;
    private final CallPolicy policy;
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();

    RetryingHttpClient(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        this.io = io;
        this.base = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
        this.policy = policy;
    }

    /** Sends a request; the result completes with the outcome of the last attempt and never fails. */
    CompletionStage<HttpOutcome> call(HttpRequestSpec request) {
        CompletableFuture<HttpOutcome> result = new CompletableFuture<>();
        long end = nowMillis() + policy.callTimeoutMillis() + request.serverWaitMillis();
        io.thread().execute(() -> attempt(request, 1, end, result));
        return result;
    }

    private void attempt(HttpRequestSpec request, int number, long endMillis, CompletableFuture<HttpOutcome> result) {
        long remaining = endMillis - nowMillis();
        long timeout = Math.max(1, Math.min(policy.attemptTimeoutMillis() + request.serverWaitMillis(), remaining));
        HttpAttempt attempt = new HttpAttempt(
                io,
                base,
                request,
                idleConnections,
                outcome -> attemptEnded(request, number, endMillis, result, outcome));
        attempt.start(timeout);
    }

    private void attemptEnded(
            HttpRequestSpec request,
            int number,
            long endMillis,
            CompletableFuture<HttpOutcome> result,
            HttpOutcome outcome) {
        long pause = Math.max(policy.retryPauseMillis(number, io.random()), retryAfterMillis(outcome));
        if (!isRetried(request, outcome) || nowMillis() + pause >= endMillis) {
            result.complete(outcome);
            return;
        }
        try {
            io.thread()
                    .executeAfter(
                            () -> attempt(request, number + 1, endMillis, result),
                            Math.max(1, pause),
                            TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The I/O thread was shut down while the call was in progress.
            result.complete(outcome);
        }
    }

    private static boolean isRetried(HttpRequestSpec request, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            return answered.isRefusal() && request.retriesRefusals();
        }
        return outcome instanceof HttpOutcome.NotSent || request.isRepeatable();
    }

    private static long retryAfterMillis(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answered ? answered.retryAfterMillis() : 0;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
