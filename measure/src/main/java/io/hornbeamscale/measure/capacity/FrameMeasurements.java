package io.hornbeamscale.measure.capacity;

import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.GrantMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.ReserveMessage;
import io.hornbeamscale.wire.message.TokensMessage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/** Measures the size of frames and the processor time to encode and decode them. */
final class FrameMeasurements {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final List<Integer> TOKENS = List.of(1, 8, 32);
    private static final List<Integer> PREFIXES = List.of(0, 16, 64);
    private static final int OPERATIONS = 20_000;

    private FrameMeasurements() {}

    static List<LinearFit> all() {
        return List.of(
                size("frame Tokens, by tokens", TOKENS, FrameMeasurements::tokens),
                size("frame Status, by cached prefixes", PREFIXES, FrameMeasurements::status),
                size("frame Reserve, by prefix hashes", PREFIXES, FrameMeasurements::reserve),
                size(
                        "frame Grant",
                        PREFIXES,
                        n -> new GrantMessage("entry-101-123456", 1, 1_764_800_000_000L, 12_345, 1_000)),
                ResourceMeter.measureCpuTime("encode and decode Tokens, by tokens", TOKENS, n -> roundTrip(tokens(n))),
                ResourceMeter.measureCpuTime(
                        "encode and decode Status, by cached prefixes", PREFIXES, n -> roundTrip(status(n))),
                ResourceMeter.measureCpuTime(
                        "encode and decode Reserve, by prefix hashes", PREFIXES, n -> roundTrip(reserve(n))));
    }

    private static LinearFit size(String name, List<Integer> sizes, java.util.function.IntFunction<Message> build) {
        List<Double> figures = new ArrayList<>();
        for (int n : sizes) {
            figures.add((double) FRAME_HEADER_BYTES + MessageCodec.encode(build.apply(n)).length);
        }
        return LinearFit.fit(name, "bytes", sizes, figures);
    }

    private static Supplier<Integer> roundTrip(Message message) {
        return () -> {
            for (int i = 0; i < OPERATIONS; i++) {
                byte[] bytes = MessageCodec.encode(message);
                if (MessageCodec.decode(bytes).isEmpty()) {
                    throw new IllegalStateException("the codec lost " + message);
                }
            }
            return OPERATIONS;
        };
    }

    private static Message tokens(int count) {
        return new TokensMessage(
                "entry-101-123456", 1, "runner-17.1764800000000.12345", 321, Collections.nCopies(count, " word"));
    }

    private static Message status(int prefixes) {
        return new BackendStatusMessage(
                "runner-17",
                1_764_800_000_000L,
                400_000,
                213_000,
                48,
                12,
                150,
                27.5,
                false,
                1_234,
                List.of(),
                Collections.nCopies(prefixes, 0x1234_5678_9abc_def0L));
    }

    private static Message reserve(int prefixes) {
        return new ReserveMessage(
                "entry-101-123456",
                1,
                "service-1",
                "customer-17",
                "interactive",
                5,
                200,
                1_000,
                Collections.nCopies(prefixes, 0x1234_5678_9abc_def0L),
                10,
                60_000,
                true,
                false,
                false,
                "model-1");
    }
}
