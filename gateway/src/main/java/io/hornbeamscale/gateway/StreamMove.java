package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.MoveOrder;
import io.hornbeamscale.core.placement.ServerLoad;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Copies the state of a running stream from a server that leaves to another one, while the stream runs. When the copy
 * is complete, the relay hands the stream over; the other server reads only what was made after the copy. All methods
 * run on the traffic thread.
 */
final class StreamMove {
    /** How long one copy may take, in milliseconds; a full engine's memory takes about 2,000 over one link. */
    private static final long COPY_MILLIS = 3_000;

    /** The pause before a copy is asked for again, in milliseconds. */
    private static final long AGAIN_MILLIS = 60;

    /** How often a copy is asked for, or a target is looked for; with the pause, about the usual notice of 2,000 ms. */
    private static final int MAX_CALLS = 30;

    private final StreamRelay relay;
    private final StreamLeg source;
    private final Set<String> refused = new HashSet<>();
    private FleetServer target;
    private ServerLoad reserved;
    private BackendExchange call;
    private Optional<String> handle = Optional.empty();
    private int calls;
    private boolean isEnded;

    StreamMove(StreamRelay relay, StreamLeg source) {
        this.relay = relay;
        this.source = source;
        refused.add(source.server().id());
    }

    void begin(long nowMillis) {
        long delay = MoveOrder.delayMillis(
                relay.size(), source.lastId() * relay.engine().tokensPerEvent());
        if (delay > 0) {
            after(delay, this::chooseTarget);
        } else {
            chooseTarget(nowMillis);
        }
    }

    /** Gives the move up and frees what was copied. */
    void abandon() {
        if (isEnded) {
            return;
        }
        end();
        if (call != null) {
            call.cancel();
        }
        handle.ifPresent(name -> send(relay.traffic().codec().releaseCall(name), (status, body) -> {}));
    }

    private void chooseTarget(long nowMillis) {
        List<FleetServer> servers =
                relay.traffic().fleet().ready(relay.request().service().name());
        Optional<FleetServer> chosen = relay.traffic()
                .generations()
                .chooseDestination(
                        servers,
                        relay.engine(),
                        relay.size(),
                        source.server(),
                        refused,
                        nowMillis,
                        relay.traffic().random());
        if (chosen.isEmpty()) {
            // A target that had no room may get some when a stream ends there.
            refused.clear();
            refused.add(source.server().id());
            again(this::chooseTarget);
            return;
        }
        target = chosen.get();
        reserved = new ServerLoad(1, relay.size().totalTokens(), 0);
        relay.traffic().placed(target.id(), reserved);
        boolean isSameZone = target.registration()
                .zone()
                .equals(source.server().registration().zone());
        double millis = CopyLinkSchedule.copyMillis(relay.engine(), relay.size().promptTokens(), isSameZone);
        relay.traffic().links().begin(source.server().id(), target.id(), millis, nowMillis);
        relay.traffic().log().moveStarted(relay.request(), source.server(), target);
        copy();
    }

    private void copy() {
        calls++;
        Endpoint to = target.registration().address();
        call = send(relay.traffic().codec().moveCall(relay.request().id(), to.toString(), false), this::copied);
    }

    private void copied(int status, byte[] body) {
        call = null;
        if (isEnded) {
            return;
        }
        ExchangeCodec.MoveReply reply = relay.traffic().codec().decodeMove(status, body);
        handle = reply.handle().or(() -> handle);
        relay.traffic().log().moved(relay.request(), source.server(), target, reply);
        switch (reply.outcome()) {
            case COPIED -> {
                FleetServer to = target;
                end();
                Endpoint owner = source.server().registration().address();
                relay.handOver(to, owner, handle.orElseThrow());
            }
            case NO_ROOM -> {
                refused.add(target.id());
                release();
                again(this::chooseTarget);
            }
            default -> again(now -> copy());
        }
    }

    private void again(LongConsumer step) {
        if (calls++ >= MAX_CALLS || source.isEnded()) {
            abandon();
            return;
        }
        after(AGAIN_MILLIS, step);
    }

    private void after(long millis, LongConsumer step) {
        relay.traffic()
                .thread()
                .executeAfter(
                        () -> {
                            if (!isEnded) {
                                step.accept(ControlLoop.now());
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    private BackendExchange send(ExchangeCodec.EngineCall engineCall, ShortCall.Done done) {
        return ShortCall.send(
                relay.traffic().client(),
                relay.traffic().thread(),
                source.server().registration().address(),
                engineCall.method(),
                engineCall.path(),
                engineCall.body().getBytes(StandardCharsets.UTF_8),
                COPY_MILLIS,
                done);
    }

    private void release() {
        if (reserved != null) {
            relay.traffic().loads().remove(target.id(), reserved);
            reserved = null;
        }
    }

    private void end() {
        isEnded = true;
        release();
        relay.moveEnded();
    }
}
