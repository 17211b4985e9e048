package io.hornbeamscale.core.drain;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;

/** What a drain controller asks its process to do. */
public sealed interface DrainAction {
    /** Refuses new work from now on and withdraws what was granted and has not started. */
    record StopNewWork() implements DrainAction {}

    /**
     * Tells all peers that this process is leaving.
     *
     * @param reason the first sign
     */
    record Announce(DrainReason reason) implements DrainAction {}

    /**
     * Stops a request of which nothing was delivered, so that its entry runs it elsewhere.
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
