package io.hornbeamscale.core.fence;

import io.hornbeamscale.core.util.Arguments;

/**
 * A command to a backend server that carries a fencing number.
 *
 * @param commandId the id of the command, which stays the same when the command is sent again, not blank
 * @param fence the fencing number of the lease under which it was sent
 * @param deadlineMillis the time until which the command may wait for its execution
 */
public record FencedCommand(String commandId, long fence, long deadlineMillis) {
    /** Checks the parts. */
    public FencedCommand {
        Arguments.notBlank(commandId, "commandId");
        Arguments.notNegative(fence, "fence");
    }
}
