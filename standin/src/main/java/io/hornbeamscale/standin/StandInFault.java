package io.hornbeamscale.standin;

/** A fault that a stand-in can inject. */
public sealed interface StandInFault {
    /**
     * Delays the execution of the request.
     *
     * @param millis the delay, in milliseconds
     */
    record DelayRequest(long millis) implements StandInFault {}

    /**
     * Accepts the request and never responds. On an engine, the stream emits no token after the given number.
     *
     * @param afterTokens the number of tokens that an engine still emits, ignored elsewhere
     */
    record Stall(int afterTokens) implements StandInFault {}

    /**
     * Closes the connection in the middle of the response. The request has been executed.
     *
     * @param afterTokens the number of tokens that an engine still emits; elsewhere half of the response is sent
     */
    record CloseMidResponse(int afterTokens) implements StandInFault {}

    /**
     * Refuses the request without executing it.
     *
     * @param status the HTTP status
     */
    record Refuse(int status) implements StandInFault {}

    /** Executes the request and closes the connection without a response. */
    record LoseResponse() implements StandInFault {}

    /**
     * Executes the request at once and delays the response.
     *
     * @param millis the delay, in milliseconds
     */
    record DelayResponse(long millis) implements StandInFault {}

    /** Holds a response until the next one and swaps the two. Arm it twice for one swap. */
    record SwapResponses() implements StandInFault {}

    /**
     * Returns an older value to a read.
     *
     * @param revisions the number of writes by which the value is older
     */
    record ReturnOlderValue(int revisions) implements StandInFault {}
}
