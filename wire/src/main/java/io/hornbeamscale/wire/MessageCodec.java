package io.hornbeamscale.wire;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.databind.jsontype.TypeIdResolver;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.message.Message;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Translates messages to and from MessagePack maps. Safe for use by several threads. */
public final class MessageCodec {
    /** The protocol version that this release speaks. */
    public static final int PROTOCOL_VERSION = 1;

    /** The greatest size of an encoded message in a frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectWriter WRITER =
            MAPPER.writerFor(Message.class).withAttribute(Message.VERSION_ATTRIBUTE, PROTOCOL_VERSION);
    private static final ObjectReader READER = MAPPER.readerFor(Message.class);

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, not null
     * @return the bytes of one MessagePack map, never null
     * @throws ServingException of kind {@link ErrorKind#PAYLOAD_TOO_LARGE} if the message does not fit into a frame
     */
    public static byte[] encode(Message message) {
        Arguments.notNull(message, "message");
        byte[] bytes;
        try {
            bytes = WRITER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new ServingException(
                    ErrorKind.INTERNAL,
                    RunOutcome.UNKNOWN,
                    "cannot encode " + message.getClass().getSimpleName(),
                    e);
        }
        if (bytes.length > MAX_FRAME_BYTES) {
            throw new ServingException(
                    ErrorKind.PAYLOAD_TOO_LARGE,
                    "the " + message.getClass().getSimpleName() + " of " + bytes.length
                            + " bytes exceeds the frame limit of " + MAX_FRAME_BYTES + " bytes");
        }
        return bytes;
    }

    /**
     * Decodes a message. Unknown fields are skipped.
     *
     * @param bytes the bytes of one MessagePack map, not null
     * @return the message, empty if its type is unknown to this release
     * @throws ServingException of kind {@link ErrorKind#BAD_FRAME} if the bytes are not a valid message
     */
    public static Optional<Message> decode(byte[] bytes) {
        Arguments.notNull(bytes, "bytes");
        if (bytes.length == 0) {
            throw new ServingException(ErrorKind.BAD_FRAME, "malformed message: no bytes");
        }
        try {
            return Optional.ofNullable(READER.readValue(bytes));
        } catch (IOException | RuntimeException e) {
            throw new ServingException(
                    ErrorKind.BAD_FRAME, RunOutcome.UNKNOWN, "malformed message: " + firstLine(e), e);
        }
    }

    private static String firstLine(Exception e) {
        String text = String.valueOf(e.getMessage());
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setVisibility(PropertyAccessor.ALL, JsonAutoDetect.Visibility.NONE);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.addHandler(new UnknownTypes());
        return mapper;
    }

    /** Decodes a message of an unknown type to null; a message without a type remains an error. */
    private static final class UnknownTypes extends DeserializationProblemHandler {
        @Override
        public JavaType handleUnknownTypeId(
                DeserializationContext context, JavaType base, String id, TypeIdResolver resolver, String reason) {
            return context.constructType(Void.class);
        }
    }
}
