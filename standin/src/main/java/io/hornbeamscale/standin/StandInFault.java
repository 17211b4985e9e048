package io.hornbeamscale.standin;

/** A fault that a stand-in can be told to show. */
public sealed interface StandInFault {
    /**
     * Waits before the request takes effect.
     *
     * @param millis the pause, in milliseconds
     */
    record DelayRequest(long millis) implements StandInFault {}

    /**
     * Accepts the request and never answers. On an engine, the stream emits no token after the given number.
     *
     * @param afterTokens the number of tokens that an engine still emits, ignored elsewhere
     */
    record Stall(int afterTokens) implements StandInFault {}

    /**
     * Closes the connection in the middle of the answer. The request has taken effect.
     *
     * @param afterTokens the number of tokens that an engine still emits; elsewhere half of the answer is sent
     */
    record CloseMidResponse(int afterTokens) implements StandInFault {}

    /**
     * Refuses the request before it takes effect.
     *
     * @param status the HTTP status
     */
    record Refuse(int status) implements StandInFault {}

    /** Closes the connection after the request took effect, without an answer. */
    record LoseResponse() implements StandInFault {}

    /**
     * Lets the request take effect at once and answers late.
     *
     * @param millis the delay, in milliseconds
     */
    record DelayResponse(long millis) implements StandInFault {}

    /** Holds an answer until the next one and exchanges the two. Arm it twice for one exchange. */
    record SwapResponses() implements StandInFault {}

    /**
     * Answers a read with an older value.
     *
     * @param revisions how many writes older the value is
     */
    record ReturnOlderValue(int revisions) implements StandInFault {}
}
