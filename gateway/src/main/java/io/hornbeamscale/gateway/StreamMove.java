package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.ServerLoad;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Moves a running stream from a server that leaves. Most of the state is copied while the stream runs; then the stream
 * stops, the small rest is copied, and the other server goes on. All methods run on the traffic thread.
 */
final class StreamMove {
    /** How long one copy may take, in milliseconds; a full engine's memory takes about 2,000 over one link. */
    private static final long COPY_MILLIS = 3_000;

    /** The pause before a copy is asked for again, in milliseconds. */
    private static final long AGAIN_MILLIS = 60;

    /** How often a copy is asked for. */
    private static final int MAX_CALLS = 8;

    /** How long the last events of the source may take to arrive after it has stopped, in milliseconds. */
    private static final long LAST_EVENTS_MILLIS = 150;

    private final StreamRelay relay;
    private final StreamLeg source;
    private final Set<String> refused = new HashSet<>();
    private FleetServer target;
    private ServerLoad reserved;
    private BackendExchange call;
    private Optional<String> handle = Optional.empty();
    private int calls;
    private boolean isStopping;
    private boolean isSourceEnded;
    private boolean isEnded;

    StreamMove(StreamRelay relay, StreamLeg source) {
        this.relay = relay;
        this.source = source;
        refused.add(source.server().id());
    }

    void begin(long nowMillis) {
        chooseTarget(nowMillis);
    }

    /** Returns whether the source was told to stop, so that the end of its stream is expected. */
    boolean isStopping() {
        return isStopping;
    }

    /** The source's stream has ended after it was told to stop. */
    void sourceEnded() {
        isSourceEnded = true;
        if (call == null && handle.isPresent() && !isEnded) {
            resume();
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
        handle.ifPresent(this::free);
    }

    private void chooseTarget(long nowMillis) {
        if (isEnded) {
            return;
        }
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
            again(this::chooseTarget);
            return;
        }
        target = chosen.get();
        reserve();
        copy(false);
    }

    private void copy(boolean isLast) {
        calls++;
        isStopping |= isLast;
        InetSocketAddress to = target.record().address();
        ExchangeCodec.EngineCall engineCall = relay.traffic()
                .codec()
                .moveCall(relay.request().id(), to.getAddress().getHostAddress() + ":" + to.getPort(), isLast);
        call = send(engineCall, (status, body) -> copied(isLast, status, body));
    }

    private void copied(boolean isLast, int status, byte[] body) {
        call = null;
        if (isEnded) {
            return;
        }
        ExchangeCodec.MoveReply reply = relay.traffic().codec().decodeMove(status, body);
        if (reply.handle().isPresent()) {
            handle = reply.handle();
        }
        relay.traffic().log().moved(relay.request(), source.server(), target, isLast, reply);
        if (isLast) {
            stopped(reply);
            return;
        }
        switch (reply.outcome()) {
            case COPIED -> copy(true);
            case NO_ROOM -> {
                refused.add(target.id());
                release();
                again(this::chooseTarget);
            }
            default -> again(now -> copy(false));
        }
    }

    private void stopped(ExchangeCodec.MoveReply reply) {
        if (reply.outcome() == ExchangeCodec.MoveOutcome.COPIED && handle.isPresent()) {
            if (isSourceEnded) {
                resume();
            } else {
                relay.traffic().thread().executeAfter(this::resume, LAST_EVENTS_MILLIS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (reply.outcome() == ExchangeCodec.MoveOutcome.NO_ROOM && handle.isPresent()) {
            // The run has stopped and the source keeps its state, so it goes on there.
            release();
            target = source.server();
            reserve();
            resume();
            return;
        }
        if (isSourceEnded) {
            relay.lost("the last copy failed and the source has stopped");
            return;
        }
        isStopping = false;
        again(now -> copy(false));
    }

    private void resume() {
        if (isEnded) {
            return;
        }
        source.cancel();
        relay.events().dropPart();
        end();
        InetSocketAddress owner = source.server().record().address();
        SendFields.Continuation continuation = new SendFields.Continuation(
                owner, handle.orElseThrow(), relay.events().lastId());
        long now = ControlLoop.now();
        relay.traffic().repeats().forceRepeat(relay.request().service().name(), now);
        relay.startLeg(target, Optional.of(continuation), now);
    }

    private void again(LongConsumer step) {
        if (calls++ >= MAX_CALLS) {
            abandon();
            return;
        }
        relay.traffic()
                .thread()
                .executeAfter(
                        () -> {
                            if (!isEnded) {
                                step.accept(ControlLoop.now());
                            }
                        },
                        AGAIN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void reserve() {
        reserved = new ServerLoad(1, relay.size().totalTokens(), 0);
        relay.traffic().loads().add(target.id(), reserved);
    }

    private void release() {
        if (reserved != null) {
            relay.traffic().loads().remove(target.id(), reserved);
            reserved = null;
        }
    }

    private void free(String name) {
        send(relay.traffic().codec().releaseCall(name), (status, body) -> {});
    }

    private BackendExchange send(ExchangeCodec.EngineCall engineCall, ShortCall.Done done) {
        return ShortCall.send(
                relay.traffic().client(),
                relay.traffic().thread(),
                source.server().record().address(),
                engineCall.method(),
                engineCall.path(),
                engineCall.body().getBytes(StandardCharsets.UTF_8),
                COPY_MILLIS,
                done);
    }

    private void end() {
        isEnded = true;
        release();
        relay.moveEnded();
    }
}
