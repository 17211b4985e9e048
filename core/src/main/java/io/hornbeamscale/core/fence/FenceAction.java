package io.hornbeamscale.core.fence;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.store.StoreCall;

/** An action that a fence guard requests of its agent. */
public sealed interface FenceAction {
    /**
     * Calls the store and passes the reply to {@link FenceGuard#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements FenceAction {}

    /**
     * Sends the command to the backend server and reports its completion to {@link FenceGuard#commandEnded}.
     *
     * @param command the command
     */
    record Execute(FencedCommand command) implements FenceAction {}

    /**
     * Refuses a command; it is not executed.
     *
     * @param command the command
     * @param kind the error
     */
    record Refuse(FencedCommand command, ErrorKind kind) implements FenceAction {}
}
