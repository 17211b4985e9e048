package io.hornbeamscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.ConfigDeltaMessage;
import io.hornbeamscale.wire.message.ConfigDigestMessage;
import io.hornbeamscale.wire.message.ConfigSnapshotMessage;
import io.hornbeamscale.wire.message.EndMessage;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.ReserveMessage;
import io.hornbeamscale.wire.message.StartMessage;
import io.hornbeamscale.wire.message.StartedMessage;
import io.hornbeamscale.wire.message.TokensMessage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Guards against messages that encoding and decoding change, and against releases that do not understand each other.
 */
class MessageCodecTest {
    @Test
    void everyFieldSurvivesARoundTrip() {
        List<Message> messages = List.of(
                new HelloMessage("e1", "entry", 7, 1, 3, "127.0.0.1:9", "amman", "amman-a"),
                new LeavingMessage(List.of(new LeavingMessage.Sign("e2", 4, "e1", 7, 9))),
                new ConfigDigestMessage(5, 6, true, true, false),
                new ConfigDeltaMessage(1, 2, 3, Map.of("a", "b"), List.of("c"), -4, true),
                new ConfigSnapshotMessage(1, 2, Map.of("a", "b"), false),
                new ReserveMessage("r", 1, "s", "c", "k", 2, 3, 4, List.of(5L, -6L), 7, 8, true, false, true, "m"),
                new StartMessage("r", 1, 7, 9, "POST", "/p", Map.of("a", "b"), Payload.ofText("{}"), 50, 0),
                new TokensMessage("r", 1, "b.1.2", 4, List.of("one", " zwei")),
                new EndMessage("r", 1, "b.1.2", 0, "", 201, Map.of("a", "b"), Payload.of(new byte[] {0, -1})),
                new BackendStatusMessage("b", 1, 2, 3, 4, 5, 6, 7.5, true, 8, List.of("x"), List.of(9L)));
        for (Message message : messages) {
            assertEquals(Optional.of(message), MessageCodec.decode(MessageCodec.encode(message)));
        }
    }

    @Test
    void unknownFieldsAreSkippedAndUnknownTypesIgnored() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(4).packString("cv").packLong(5);
            packer.packString("new").packArrayHeader(1).packString("x");
            packer.packString("t").packString("config-digest").packString("v").packInt(2);
            assertEquals(
                    Optional.of(new ConfigDigestMessage(5, 0, false, false, false)),
                    MessageCodec.decode(packer.toByteArray()));
            packer.clear();
            packer.packMapHeader(1).packString("t").packString("from-a-later-release");
            assertEquals(Optional.empty(), MessageCodec.decode(packer.toByteArray()));
        }
    }

    @Test
    void malformedBytesAreBadFrames() throws IOException {
        byte[] withoutFields;
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(1).packString("t").packString("started");
            withoutFields = packer.toByteArray();
        }
        byte[] complete = MessageCodec.encode(new StartedMessage("r", 1, "b.1.2"));
        byte[] truncated = Arrays.copyOf(complete, complete.length - 3);
        for (byte[] bytes : List.of(
                new byte[] {(byte) 0xc1},
                new byte[0],
                withoutFields,
                truncated,
                "GET / HTTP".getBytes(StandardCharsets.UTF_8))) {
            ServingException e = assertThrows(ServingException.class, () -> MessageCodec.decode(bytes));
            assertEquals(ErrorKind.BAD_FRAME, e.kind());
        }
    }

    @Test
    void messagesBeyondTheFrameLimitAreRefusedBeforeTheyAreSent() {
        Message large = new ConfigSnapshotMessage(1, 1, Map.of("a", "x".repeat(MessageCodec.MAX_FRAME_BYTES)), true);
        ServingException e = assertThrows(ServingException.class, () -> MessageCodec.encode(large));
        assertTrue(e.getMessage().contains("exceeds the frame limit of 1048576 bytes"), e.getMessage());
    }
}
