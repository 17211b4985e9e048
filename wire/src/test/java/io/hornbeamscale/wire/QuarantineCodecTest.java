package io.hornbeamscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.hornbeamscale.core.quarantine.ContentCrashReport;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.quarantine.QuarantinedRequest;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.wire.message.QuarantineMessage;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against quarantine news that gets lost between releases, or that an earlier release cannot read. */
class QuarantineCodecTest {
    private static final RequestFingerprint FIRST = new RequestFingerprint("first");
    private static final RequestFingerprint SECOND = new RequestFingerprint("second");

    @Nested
    class News {
        @Test
        void isDecodedAsItWasEncoded() {
            QuarantineUpdate update = new QuarantineUpdate(
                    List.of(new CrashReport("c", Set.of(FIRST))),
                    List.of(SECOND),
                    List.of(new QuarantinedRequest(FIRST, 5)),
                    List.of(new ContentCrashReport("d", List.of(FIRST, SECOND), List.of(SECOND))));
            assertEquals(Optional.of(update), QuarantineCodec.decode(QuarantineCodec.encode(update)));
        }

        @Test
        void withoutContentReportsKeepsTheFormOfEarlierReleases() {
            QuarantineMessage message = QuarantineCodec.encode(new QuarantineUpdate(
                    List.of(new CrashReport("c", Set.of(FIRST))), List.of(), List.of(), List.of()));
            assertEquals("news", message.kind());
            assertFalse(message.content().contains("contentReports"), message.content());
        }
    }
}
