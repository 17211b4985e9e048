package io.hornbeamscale.daemon;

/** The state of a call that an agent runs on the backend server. Used on the control thread. */
final class CallState {
    final boolean isRepeatable;
    /** The engine's request id, made of generation and customer; empty for a stream recovered from the engine. */
    String requestTag = "";
    /** The engine's id of the stream, null until the engine reports it and for plain calls. */
    String engineId;
    /** The number of reattach attempts since the last token. */
    int reattaches;
    /** Whether the last failure was a malformed response, so that the engine is faulty but has not crashed. */
    boolean isMalformed;
    /** The number of tokens received from the engine. */
    long emitted;

    CallState(boolean isRepeatable, String engineId) {
        this.isRepeatable = isRepeatable;
        this.engineId = engineId;
    }
}
