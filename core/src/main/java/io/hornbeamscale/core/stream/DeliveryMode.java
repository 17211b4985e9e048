package io.hornbeamscale.core.stream;

/** How a caller wants to receive a response, which decides what follows the loss of a generation. */
public enum DeliveryMode {
    /** Server-sent events; the loss of a generation ends the stream with an error event. */
    STREAM,
    /** Server-sent events; the loss of a generation leads to a restart event and a new generation from offset 0. */
    STREAM_OR_RESTART,
    /** One whole response; the loss of a generation leads to a new generation that the caller does not notice. */
    WHOLE
}
