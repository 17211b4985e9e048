package io.hornbeamscale.external;

import io.hornbeamscale.core.reconcile.CommandReply;
import io.hornbeamscale.core.reconcile.EngineActual;
import io.hornbeamscale.core.reconcile.EngineCommand;
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
    CompletionStage<CommandReply> execute(EngineCommand command);

    /**
     * Reads what the engine holds.
     *
     * @return the state, empty if the engine did not answer within the call budget
     */
    CompletionStage<Optional<EngineActual>> actual();
}
