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

/** Sends HTTP calls to one server with a time limit, jittered pauses between attempts and an overall budget. */
final class HttpCaller {
    private final PlatformIo io;
    private final URI base;
    private final CallPolicy policy;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();

    HttpCaller(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        this.io = io;
        this.base = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
        this.policy = policy;
    }

    /** Completes with the last outcome; it never fails. */
    CompletionStage<HttpOutcome> call(HttpCall call) {
        CompletableFuture<HttpOutcome> result = new CompletableFuture<>();
        long end = nowMillis() + policy.callTimeoutMillis() + call.extraMillis();
        io.thread().execute(() -> attempt(call, 1, end, result));
        return result;
    }

    private void attempt(HttpCall call, int number, long endMillis, CompletableFuture<HttpOutcome> result) {
        long left = endMillis - nowMillis();
        long limit = Math.max(1, Math.min(policy.attemptTimeoutMillis() + call.extraMillis(), left));
        HttpAttempt attempt =
                new HttpAttempt(io, base, call, idle, outcome -> ended(call, number, endMillis, result, outcome));
        attempt.begin(limit);
    }

    private void ended(
            HttpCall call, int number, long endMillis, CompletableFuture<HttpOutcome> result, HttpOutcome outcome) {
        long pause = Math.max(policy.retryPauseMillis(number, io.random()), retryAfterMillis(outcome));
        if (!isWorthRepeating(call, outcome) || nowMillis() + pause >= endMillis) {
            result.complete(outcome);
            return;
        }
        try {
            io.thread()
                    .executeAfter(
                            () -> attempt(call, number + 1, endMillis, result),
                            Math.max(1, pause),
                            TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The process is closing its clients while a call is on its way.
            result.complete(outcome);
        }
    }

    private static boolean isWorthRepeating(HttpCall call, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            return answered.isRefusal() && call.retriesRefusals();
        }
        return outcome instanceof HttpOutcome.NotSent || call.isRepeatable();
    }

    private static long retryAfterMillis(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answered ? answered.retryAfterMillis() : 0;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
