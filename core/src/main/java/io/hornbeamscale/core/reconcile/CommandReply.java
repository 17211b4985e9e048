package io.hornbeamscale.core.reconcile;

/** The reply of an engine to a command. */
public sealed interface CommandReply {
    /**
     * The command has taken effect or is taking effect.
     *
     * @param actual the state of the engine
     */
    record Accepted(EngineActual actual) implements CommandReply {}

    /**
     * The engine has seen a higher fencing number. The command had no effect.
     *
     * @param fence the highest number seen
     */
    record StaleFence(long fence) implements CommandReply {}

    /** The engine cannot carry out the command now, for example because the weight store refuses. It had no effect. */
    record Refused() implements CommandReply {}

    /** The engine did not answer. The command may have taken effect. */
    record NoAnswer() implements CommandReply {}
}
