package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.wire.message.ClaimAnswerMessage;
import io.hornbeamscale.wire.message.ClaimForwardMessage;

/** Converts claim operations between entries to and from messages, whose content is JSON. */
final class ClaimMessageCodec {
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ClaimMessageCodec() {}

    static ClaimForwardMessage encode(io.hornbeamscale.core.claim.ForwardedClaimOp forward) {
        return new ClaimForwardMessage(forward.opId(), write(forward));
    }

    static ClaimAnswerMessage encode(io.hornbeamscale.core.claim.ClaimOpReply answer) {
        return new ClaimAnswerMessage(answer.opId(), write(answer));
    }

    static io.hornbeamscale.core.claim.ForwardedClaimOp decodeForward(ClaimForwardMessage m) {
        return read(m.content(), io.hornbeamscale.core.claim.ForwardedClaimOp.class);
    }

    static io.hornbeamscale.core.claim.ClaimOpReply decodeAnswer(ClaimAnswerMessage m) {
        return read(m.content(), io.hornbeamscale.core.claim.ClaimOpReply.class);
    }

    private static String write(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }

    private static <T> T read(String text, Class<T> type) {
        try {
            return JSON.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new ServingException(ErrorKind.BAD_FRAME, RunOutcome.UNKNOWN, "malformed claim message", e);
        }
    }
}
