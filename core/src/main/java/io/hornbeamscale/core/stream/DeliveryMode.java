package io.hornbeamscale.core.stream;

/** How a caller receives a response, which determines what happens when a generation is lost. */
public enum DeliveryMode {
    /** Server-sent events; the loss of a generation ends the stream with an error event. */
    STREAM,
    /** Server-sent events; the loss of a generation leads to a restart event and a new generation from offset 0. */
    STREAM_OR_RESTART,
    /** One complete response; the loss of a generation leads to a new generation that is invisible to the caller. */
    WHOLE
}
