package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.store.StoreCall;

/** An action that a reconciler requests of its caller. */
public sealed interface ReconcileAction {
    /**
     * Calls the store. The reply is passed to {@link Reconciler#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements ReconcileAction {}

    /**
     * Sends a command to an engine. The reply is passed to {@link Reconciler#commandReplied}.
     *
     * @param backend the engine
     * @param command the command
     */
    record SendCommand(BackendId backend, EngineCommand command) implements ReconcileAction {}

    /**
     * Reads the state of an engine. The result is passed to {@link Reconciler#engineStateRead} or
     * {@link Reconciler#engineUnreachable}.
     *
     * @param backend the engine
     */
    record ReadEngineState(BackendId backend) implements ReconcileAction {}
}
