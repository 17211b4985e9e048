package io.hornbeamscale.standin;

/** A fault that a stand-in can be told to show. */
public sealed interface Fault {
    /**
     * Waits before the request takes effect.
     *
     * @param millis the pause, in milliseconds
     */
    record Slow(long millis) implements Fault {}

    /**
     * Accepts the request and never answers. On an engine, the stream emits no token after the given number.
     *
     * @param afterTokens the number of tokens that an engine still emits, ignored elsewhere
     */
    record Stall(int afterTokens) implements Fault {}

    /**
     * Closes the connection in the middle of the answer. The request has taken effect.
     *
     * @param afterTokens the number of tokens that an engine still emits; elsewhere half of the answer is sent
     */
    record DieMidStream(int afterTokens) implements Fault {}

    /**
     * Refuses the request before it takes effect.
     *
     * @param status the HTTP status
     */
    record Refuse(int status) implements Fault {}

    /** Closes the connection after the request took effect, without an answer. */
    record LoseResponse() implements Fault {}

    /**
     * Lets the request take effect at once and answers late.
     *
     * @param millis the delay, in milliseconds
     */
    record DeliverLate(long millis) implements Fault {}

    /** Holds an answer until the next one and exchanges the two. Arm it twice for one exchange. */
    record SwapResponses() implements Fault {}

    /**
     * Answers a read with an older value.
     *
     * @param revisions how many writes older the value is
     */
    record ReturnOlder(int revisions) implements Fault {}
}
