package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.MoveOrder;
import io.hornbeamscale.core.placement.ServerLoad;
import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Copies the state of a running stream from a leaving server to another one, while the stream goes on. When the copy is
 * complete, the relay hands the stream over; the other server then reads only what was generated after the copy. All
 * methods run on the traffic thread.
 */
final class StreamMove {
    /** How long one copy may take, in milliseconds; the whole memory of an engine takes about 2,000 over one link. */
    private static final long COPY_TIMEOUT_MILLIS = 3_000;

    /** The pause before a copy or the choice of a target is tried again, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 60;

    /**
     * The greatest number of tries to copy or to choose a target; with the pauses, they take about the usual notice of
     * 2,000 ms.
     */
    private static final int MAX_TRIES = 30;

    private final StreamRelay relay;
    private final StreamHandOver handOver;
    private final StreamAttempt source;
    private final Set<String> refused = new HashSet<>();
    private FleetServer target;
    private ServerLoad reserved;
    private BackendExchange call;
    private Optional<String> handle = Optional.empty();
    private int tries;
    private boolean isEnded;

    StreamMove(StreamRelay relay, StreamHandOver handOver, StreamAttempt source) {
        this.relay = relay;
        this.handOver = handOver;
        this.source = source;
        excludeSource();
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

    /** Abandons the move and frees the copy. */
    void abandon() {
        if (isEnded) {
            return;
        }
        end();
        if (call != null) {
            call.cancel();
        }
        handle.ifPresent(name -> send(relay.traffic().codec().releaseCall(name), (status, headers, body) -> {}));
    }

    private void chooseTarget(long nowMillis) {
        List<FleetServer> servers =
                relay.traffic().fleet().ready(relay.request().service().name());
        Optional<FleetServer> chosen = relay.traffic()
                .generationPlacement()
                .chooseDestination(
                        servers,
                        relay.engine(),
                        relay.size(),
                        source.server(),
                        relay.candidates().termsExcluding(refused),
                        nowMillis,
                        relay.traffic().random());
        if (chosen.isEmpty()) {
            // A target without room may get some when one of its streams ends.
            refused.clear();
            excludeSource();
            retry(this::chooseTarget);
            return;
        }
        target = chosen.get();
        relay.traffic().eligibility().reserve(target, nowMillis);
        reserved = relay.size().loadAfter(source.lastId() * relay.engine().tokensPerEvent());
        relay.traffic().placed(target.id(), reserved);
        boolean isSameZone = target.registration()
                .zone()
                .equals(source.server().registration().zone());
        double millis = CopyLinkSchedule.copyMillis(relay.engine(), relay.size().promptTokens(), isSameZone);
        relay.traffic().copyLinks().begin(source.server().id(), target.id(), millis, nowMillis);
        relay.traffic().log().moveStarted(relay.request(), source.server(), target);
        copy();
    }

    /** Excludes the source, whether or not it has room. */
    private void excludeSource() {
        refused.add(source.server().id());
    }

    private void copy() {
        tries++;
        Endpoint to = target.registration().address();
        call = send(relay.traffic().codec().moveCall(relay.request().id(), to.toString(), false), this::copied);
    }

    private void copied(int status, HeaderMap headers, byte[] body) {
        call = null;
        if (isEnded) {
            return;
        }
        ExchangeCodec.MoveReply reply = relay.traffic().codec().decodeMoveReply(status, body);
        handle = reply.handle().or(() -> handle);
        relay.traffic().log().moved(relay.request(), source.server(), target, reply);
        switch (reply.outcome()) {
            case COPIED -> {
                FleetServer to = target;
                end();
                Endpoint owner = source.server().registration().address();
                handOver.begin(to, owner, handle.orElseThrow());
            }
            case NO_ROOM -> {
                refused.add(target.id());
                release();
                retry(this::chooseTarget);
            }
            default -> retry(now -> copy());
        }
    }

    private void retry(LongConsumer step) {
        if (tries++ >= MAX_TRIES || source.isEnded()) {
            abandon();
            return;
        }
        after(RETRY_INTERVAL_MILLIS, step);
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

    private BackendExchange send(ExchangeCodec.EngineCall engineCall, BufferedCall.Callback done) {
        return BufferedCall.send(
                relay.traffic().client(),
                relay.traffic().thread(),
                source.server().registration().address(),
                engineCall.method(),
                engineCall.path(),
                engineCall.body().getBytes(StandardCharsets.UTF_8),
                BackendClient.Reuse.NONE,
                COPY_TIMEOUT_MILLIS,
                BufferedCall.MAX_SERVER_RESPONSE_BYTES,
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
        handOver.moveEnded();
    }
}
