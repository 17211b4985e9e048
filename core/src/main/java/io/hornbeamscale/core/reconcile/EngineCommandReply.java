package io.hornbeamscale.core.reconcile;

/** The reply of an engine to a command. */
public sealed interface EngineCommandReply {
    /**
     * The command has taken effect or is taking effect.
     *
     * @param actual the state of the engine
     */
    record Accepted(ActualEngineState actual) implements EngineCommandReply {}

    /**
     * The engine has seen a higher fencing number. The command had no effect.
     *
     * @param fence the highest number seen
     */
    record StaleFence(long fence) implements EngineCommandReply {}

    /** The engine cannot carry out the command now, for example because the weight store refuses. It had no effect. */
    record Refused() implements EngineCommandReply {}

    /** The engine did not answer. The command may have taken effect. */
    record NoAnswer() implements EngineCommandReply {}
}
