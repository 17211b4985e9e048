package io.hornbeamscale.core.drain;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;

/** An action that a drain controller requests of its process. */
public sealed interface DrainAction {
    /** Refuses new work from now on and withdraws grants that have not been used. */
    record StopNewWork() implements DrainAction {}

    /**
     * Tells all peers that this process is leaving.
     *
     * @param reason the reason that was given first
     */
    record Announce(DrainReason reason) implements DrainAction {}

    /**
     * Stops an attempt of which nothing was delivered, so that its entry retries the request elsewhere.
     *
     * @param attempt the attempt
     */
    record RunElsewhere(AttemptId attempt) implements DrainAction {}

    /**
     * Ends a response that cannot finish.
     *
     * @param attempt the attempt
     * @param kind the error
     * @param outcome what is known about the execution
     * @param offset the number of tokens so far
     */
    record EndWork(AttemptId attempt, ErrorKind kind, RunOutcome outcome, long offset) implements DrainAction {}

    /**
     * Ends the process.
     *
     * @param isComplete whether every response was finished
     */
    record Exit(boolean isComplete) implements DrainAction {}
}
