package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.stream.RunTermination;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * The order to a server to stop the run of a stream. The only call with this effect copies the state of the run, so the
 * copy is freed afterwards. All methods run on the traffic thread.
 */
final class StopOrder {
    /** As long as a copy may take: a server that stops a run copies the rest of its state before it responds. */
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    private final TrafficState traffic;
    private final RelayRequest request;
    private final FleetServer server;
    private final Endpoint copyTo;

    /**
     * Creates an order that is not sent.
     *
     * @param request the request
     * @param server the server whose run must end
     * @param copyTo the address of another server
     */
    StopOrder(TrafficState traffic, RelayRequest request, FleetServer server, Endpoint copyTo) {
        this.traffic = traffic;
        this.request = request;
        this.server = server;
        this.copyTo = copyTo;
    }

    /** Sends the order; may be called again. */
    void send(Consumer<RunTermination.Reply> done) {
        call(
                traffic.codec().moveCall(request.id(), copyTo.toString(), true),
                TIMEOUT_MILLIS,
                (status, headers, body) -> done.accept(replied(traffic.codec().decodeMoveReply(status, body))));
    }

    private RunTermination.Reply replied(ExchangeCodec.MoveReply reply) {
        reply.handle().ifPresent(this::release);
        traffic.metrics().count("run_stops." + reply.outcome().name().toLowerCase(Locale.ROOT));
        RunTermination.Reply result = result(reply);
        traffic.log().runStopped(request, server, reply, result.isConfirmation());
        return result;
    }

    /** A server that has no room for the copy has stopped the run, and keeps its state under the handle. */
    private static RunTermination.Reply result(ExchangeCodec.MoveReply reply) {
        return switch (reply.outcome()) {
            case COPIED -> RunTermination.Reply.STOPPED;
            case NO_ROOM -> reply.handle().isPresent() ? RunTermination.Reply.STOPPED : RunTermination.Reply.REFUSED;
            case NO_SUCH_RUN -> RunTermination.Reply.NOT_RUNNING;
            case BUSY -> RunTermination.Reply.REFUSED;
            case FAILED -> RunTermination.Reply.NO_RESPONSE;
        };
    }

    private void release(String handle) {
        call(traffic.codec().releaseCall(handle), RELEASE_TIMEOUT_MILLIS, (status, headers, body) -> {});
    }

    private void call(ExchangeCodec.EngineCall call, long timeoutMillis, BufferedCall.Callback done) {
        BufferedCall.send(
                traffic.client(),
                traffic.thread(),
                server.registration().address(),
                call.method(),
                call.path(),
                call.body().getBytes(StandardCharsets.UTF_8),
                BackendClient.Reuse.NONE,
                timeoutMillis,
                BufferedCall.MAX_SERVER_RESPONSE_BYTES,
                done);
    }
}
