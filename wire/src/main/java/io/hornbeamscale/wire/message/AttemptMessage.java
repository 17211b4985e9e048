package io.hornbeamscale.wire.message;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.RequestId;

/** A message about one attempt. */
public sealed interface AttemptMessage extends Message
        permits ReserveMessage,
                CancelReservationMessage,
                GrantMessage,
                RefuseMessage,
                StartMessage,
                StartedMessage,
                TokensMessage,
                EndMessage,
                FailedMessage,
                AckMessage,
                ResumeMessage,
                RevokeMessage,
                RevokedMessage {
    /**
     * Returns the request.
     *
     * @return the request, not blank
     */
    String request();

    /**
     * Returns the number of the attempt.
     *
     * @return the number, from 1
     */
    int attempt();

    /**
     * Returns the attempt as a value.
     *
     * @return the attempt, never null
     */
    default AttemptId attemptId() {
        return new AttemptId(new RequestId(request()), attempt());
    }
}
