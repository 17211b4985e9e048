package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** One caller's request from its arrival to its final response. All methods run on the traffic thread. */
abstract class Relay {
    /**
     * The time reserved for the way back to the caller, in milliseconds; the deadline that the server gets is earlier
     * by it.
     */
    static final long RESPONSE_MARGIN_MILLIS = 10;

    static final String EXIT_BEFORE_RESPONSE = "the process may exit before the response";

    private final TrafficState traffic;
    private final HttpServerExchange exchange;
    private final CallerResponse response;
    private final RelayRequest request;
    private XnioExecutor.Key deadline;
    private boolean isEnded;

    Relay(TrafficState traffic, HttpServerExchange exchange, RelayRequest request) {
        this.traffic = traffic;
        this.exchange = exchange;
        this.request = request;
        this.response = new CallerResponse(exchange);
    }

    /** Starts the request. */
    final void begin(long nowMillis) {
        traffic.relayStarted(this);
        traffic.repeats().recordRequest(request.service().name(), nowMillis);
        traffic.hedging().arrived(request.service().name(), request.customerName(), nowMillis);
        deadline = traffic.thread()
                .executeAfter(
                        this::deadlinePassed, Math.max(0, request.remainingMillis(nowMillis)), TimeUnit.MILLISECONDS);
        start(nowMillis);
    }

    final TrafficState traffic() {
        return traffic;
    }

    final RelayRequest request() {
        return request;
    }

    final CallerResponse response() {
        return response;
    }

    final boolean isEnded() {
        return isEnded;
    }

    /** Sends the request, or queues it until a server has room. */
    abstract void start(long nowMillis);

    /** Cancels the attempts in progress at servers. */
    abstract void cancelAttempts();

    /** Returns whether a server may have run the request. */
    abstract boolean mayHaveRun();

    /** Handles a new fleet snapshot. */
    abstract void fleetChanged();

    /** Ends the request if it is quarantined and no server makes progress with it. */
    abstract void endIfQuarantined(long nowMillis);

    /** Returns details for the log line at the end of the request, empty for none. */
    String detail() {
        return "";
    }

    /**
     * Returns why a response cannot be the server's response to this request, empty if it can. Must be called for each
     * response before its outcome is used.
     */
    final Optional<String> mismatch(int status, BackendResponseHead head) {
        if (!BackendResponses.isFinalStatus(status)) {
            return Optional.of("status " + status + " is not the status of a response");
        }
        if (!head.requestId().equals(request.head().requestId())) {
            return Optional.of("the response belongs to another request");
        }
        if (head.statesNotRun() && BackendResponses.outcome(status, true) != RunOutcome.NOT_RUN) {
            return Optional.of("status " + status + " with a statement that the request has not run");
        }
        return Optional.empty();
    }

    /**
     * Sends the complete response of a server that ran the request to the caller. A status that callers take as the
     * promise that the request has not run is replaced.
     */
    final void forwardResponse(int status, HeaderMap headers, byte[] body, String why) {
        if (BackendResponses.isNotRunStatus(status)) {
            fail(
                    ErrorKind.OUTCOME_UNKNOWN,
                    -1,
                    "status " + status + " without a statement that it has not run, " + why);
            return;
        }
        if (!end()) {
            return;
        }
        exchange.setStatusCode(status);
        traffic.codec().copyResponseHeaders(headers, exchange.getResponseHeaders());
        closeConnectionIfStopping();
        response.respond(body);
        finished(status, why);
    }

    /** Sends the head of a server's response; the body follows. */
    final void startForwarding(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        traffic.codec().copyResponseHeaders(headers, exchange.getResponseHeaders());
        closeConnectionIfStopping();
        response.start();
    }

    /** Ends a response that was started with {@link #startForwarding}. */
    final void finishForwarding(String why) {
        if (end()) {
            response.finish();
            finished(exchange.getStatusCode(), why);
        }
    }

    /**
     * Ends the request with an error response of this entry, or by closing the connection if a response has started. A
     * request that may have run never gets a status that promises the contrary.
     */
    final void fail(ErrorKind kind, long retryAfterMillis, String why) {
        if (mayHaveRun() && BackendResponses.isNotRunStatus(LocalErrorResponses.status(kind))) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, why);
            return;
        }
        if (!end()) {
            return;
        }
        cancelAttempts();
        if (response.isStarted()) {
            response.abort();
            finished(0, why);
            return;
        }
        int status = LocalErrorResponses.status(kind);
        exchange.setStatusCode(status);
        traffic.codec()
                .encodeLocalResponse(
                        exchange.getResponseHeaders(), request.head().requestId(), retryAfterMillis);
        closeConnectionIfStopping();
        response.respond(LocalErrorResponses.body(kind));
        finished(status, kind.code() + ": " + why);
    }

    /**
     * Refuses the request if it has not run and the process may exit before its time limit.
     *
     * @return whether the request was refused
     */
    final boolean refuseIfStopping() {
        if (isEnded || mayHaveRun() || !traffic.stop().isRefused(request)) {
            return false;
        }
        fail(ErrorKind.DRAINING, 0, EXIT_BEFORE_RESPONSE);
        return true;
    }

    /** Ends the request because the process exits now. */
    final void endForExit() {
        if (mayHaveRun()) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, "the process exits before the response is complete");
        } else {
            fail(ErrorKind.DRAINING, 0, EXIT_BEFORE_RESPONSE);
        }
    }

    /** Lets the caller send its next request to another entry. */
    private void closeConnectionIfStopping() {
        if (traffic.stop().isStopping()) {
            exchange.setPersistent(false);
        }
    }

    private void deadlinePassed() {
        if (isEnded) {
            return;
        }
        if (mayHaveRun()) {
            fail(ErrorKind.DEADLINE_EXCEEDED, -1, "no complete response within the time limit");
        } else {
            fail(ErrorKind.OVERLOADED, -1, "not sent within the time limit");
        }
    }

    /** Ends the request without a response, as its caller has closed the connection. */
    final void callerDisconnected() {
        if (end()) {
            cancelAttempts();
            finished(0, "the caller closed the connection");
        }
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        deadline.remove();
        traffic.relayEnded(this);
        return true;
    }

    private void finished(int status, String why) {
        long millis = ControlLoop.now() - request.arrivedAtMillis();
        traffic.metrics().requestEnded(request.route().kind(), status, millis);
        traffic.log().requestEnded(request, status, millis, why, detail());
    }
}
