package io.hornbeamscale.external;

import io.hornbeamscale.core.reconcile.ActualEngineState;
import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.core.reconcile.EngineCommandReply;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The command interface of one engine. */
public interface EngineCommands {
    /**
     * Executes a command. Commands are idempotent, so a lost one is retried until the call times out.
     *
     * @param command the command, not null
     * @return the reply
     */
    CompletionStage<EngineCommandReply> execute(EngineCommand command);

    /**
     * Reads the state of the engine.
     *
     * @return the state, empty if the engine did not respond before the call timed out
     */
    CompletionStage<Optional<ActualEngineState>> readState();
}
