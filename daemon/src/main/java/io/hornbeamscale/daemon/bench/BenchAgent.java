package io.hornbeamscale.daemon.bench;

import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameListener;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.GrantMessage;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.ReserveMessage;
import io.hornbeamscale.wire.message.StartMessage;
import io.hornbeamscale.wire.message.StartedMessage;
import io.hornbeamscale.wire.message.TokensMessage;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;

/** An agent without an engine that grants every reservation and sends a few tokens of generations that never end. */
final class BenchAgent implements FrameListener, AutoCloseable {
    private static final String BACKEND = "m0";
    private static final long INCARNATION = 1;
    private static final int TOKENS_PER_GENERATION = 20;
    private static final long GRANT_VALIDITY_MILLIS = 10_000;

    private final FrameLoop frames = new FrameLoop("bench-agent");
    private long sequence;

    BenchAgent(InetSocketAddress address) {
        frames.listen(address, () -> this);
    }

    @Override
    public void opened(FrameConnection connection) {
        connection.send(new HelloMessage(BACKEND, "agent", INCARNATION, MessageCodec.PROTOCOL_VERSION, 0, ""));
    }

    @Override
    public void received(FrameConnection connection, Message message) {
        if (message instanceof HelloMessage) {
            connection.send(new BackendStatusMessage(
                    BACKEND, INCARNATION, 500_000_000, 0, 0, 0, 0, 0, false, 0, List.of(), List.of()));
        } else if (message instanceof ReserveMessage m) {
            sequence++;
            connection.send(new GrantMessage(m.request(), m.attempt(), INCARNATION, sequence, GRANT_VALIDITY_MILLIS));
        } else if (message instanceof StartMessage m) {
            String generation = BACKEND + "." + INCARNATION + "." + m.sequence();
            connection.send(new StartedMessage(m.request(), m.attempt(), generation));
            connection.send(new TokensMessage(
                    m.request(), m.attempt(), generation, 0, Collections.nCopies(TOKENS_PER_GENERATION, " token")));
        }
    }

    @Override
    public void closed(FrameConnection connection, String reason) {
        System.err.println("The entry is disconnected: " + reason);
    }

    @Override
    public void close() {
        frames.close();
    }
}
