package io.hornbeamscale.external;

import io.hornbeamscale.core.reconcile.ActualEngineState;
import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.core.reconcile.EngineCommandReply;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The command interface of one engine. */
public interface EngineCommands {
    /**
     * Carries out a command. Commands are idempotent, so a lost one is sent again within the call budget.
     *
     * @param command the command, not null
     * @return the reply
     */
    CompletionStage<EngineCommandReply> execute(EngineCommand command);

    /**
     * Reads what the engine holds.
     *
     * @return the state, empty if the engine did not answer within the call budget
     */
    CompletionStage<Optional<ActualEngineState>> readState();
}
