package io.hornbeamscale.core.fence;

import io.hornbeamscale.core.util.Arguments;

/**
 * A command to a backend server.
 *
 * @param commandId the id of the command, the same when it is sent again, not blank
 * @param fence the fencing number of the lease under which it was sent
 * @param deadlineMillis until when it may wait for its start
 */
public record FencedCommand(String commandId, long fence, long deadlineMillis) {
    /** Checks the parts. */
    public FencedCommand {
        Arguments.notBlank(commandId, "commandId");
        Arguments.notNegative(fence, "fence");
    }
}
