package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** One caller's request from its arrival to its final response. All methods run on the traffic thread. */
abstract class Relay {
    /** What the response to the caller may take on its way, in milliseconds; the server's deadline is earlier by it. */
    static final long RETURN_MILLIS = 10;

    private final Traffic traffic;
    private final HttpServerExchange exchange;
    private final CallerResponse response;
    private final RelayRequest request;
    private XnioExecutor.Key deadline;
    private boolean isEnded;

    Relay(Traffic traffic, HttpServerExchange exchange, RelayRequest request) {
        this.traffic = traffic;
        this.exchange = exchange;
        this.request = request;
        this.response = new CallerResponse(exchange);
    }

    /** Starts the request. */
    final void begin(long nowMillis) {
        traffic.started(this);
        traffic.repeats().recordRequest(request.service().name(), nowMillis);
        exchange.getConnection().addCloseListener(connection -> callerClosed());
        deadline = traffic.thread()
                .executeAfter(
                        this::deadlinePassed, Math.max(0, request.remainingMillis(nowMillis)), TimeUnit.MILLISECONDS);
        run(nowMillis);
    }

    final Traffic traffic() {
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

    /** Does the first step. */
    abstract void run(long nowMillis);

    /** Gives up what is in progress at servers. */
    abstract void cancelSends();

    /** Returns whether a server may have run the request. */
    abstract boolean mayHaveRun();

    /** Handles a new view of the fleet. */
    abstract void fleetChanged();

    /** Returns what the line at the request's end says beside its status. */
    String detail() {
        return "";
    }

    /** Responds with a server's whole response. */
    final void passOn(int status, HeaderMap headers, byte[] body, String why) {
        if (!end()) {
            return;
        }
        exchange.setStatusCode(status);
        traffic.codec().copyResponse(headers, exchange.getResponseHeaders());
        response.respond(body);
        finished(status, why);
    }

    /** Sends the head of a server's response whose body follows. */
    final void startPassing(int status, HeaderMap headers) {
        exchange.setStatusCode(status);
        traffic.codec().copyResponse(headers, exchange.getResponseHeaders());
        response.start();
    }

    /** Ends a response that was started. */
    final void finishPassing(String why) {
        if (end()) {
            response.finish();
            finished(exchange.getStatusCode(), why);
        }
    }

    /** Ends the request with an answer of this entry, or by closing the connection if a response has started. */
    final void fail(ErrorKind kind, long retryAfterMillis, String why) {
        if (!end()) {
            return;
        }
        cancelSends();
        if (response.isStarted()) {
            response.abort();
            finished(0, why);
            return;
        }
        int status = OwnAnswers.status(kind);
        exchange.setStatusCode(status);
        traffic.codec().encodeOwn(exchange.getResponseHeaders(), request.head().requestId(), retryAfterMillis);
        response.respond(OwnAnswers.body(kind));
        finished(status, kind.code() + ": " + why);
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

    private void callerClosed() {
        if (end()) {
            cancelSends();
            finished(0, "the caller left");
        }
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        deadline.remove();
        traffic.ended(this);
        return true;
    }

    private void finished(int status, String why) {
        long millis = ControlLoop.now() - request.arrivedAtMillis();
        traffic.metrics().ended(request.route().kind(), status, millis);
        traffic.log().requestEnded(request, status, millis, why, detail());
    }
}
