package io.hornbeamscale.daemon;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.claim.ClaimResult;
import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import io.hornbeamscale.wire.message.AckMessage;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.CancelReservationMessage;
import io.hornbeamscale.wire.message.EndMessage;
import io.hornbeamscale.wire.message.FailedMessage;
import io.hornbeamscale.wire.message.GrantMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.RefuseMessage;
import io.hornbeamscale.wire.message.ReserveMessage;
import io.hornbeamscale.wire.message.ResumeMessage;
import io.hornbeamscale.wire.message.RevokeMessage;
import io.hornbeamscale.wire.message.RevokedMessage;
import io.hornbeamscale.wire.message.StartMessage;
import io.hornbeamscale.wire.message.StartedMessage;
import io.hornbeamscale.wire.message.TokensMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts the actions of controllers to messages, and the contents of messages to the types of the core. */
final class MessageConverter {
    private static final int MAX_RESULT_BYTES = 2_048;

    private MessageConverter() {}

    static ReserveMessage toMessage(EntryAction.SendReserve a, long nowMillis) {
        WorkItem work = a.work();
        return new ReserveMessage(
                requestId(a.attempt()),
                a.attempt().number(),
                work.service().value(),
                work.customer().value(),
                work.kind(),
                work.priority(),
                work.promptTokens(),
                work.maxTokens(),
                work.prefixHashes(),
                nowMillis - work.arrivedMillis(),
                work.deadlineMillis() - nowMillis,
                work.isRepeatable(),
                work.isPlain(),
                work.isSuspect(),
                work.model());
    }

    /** Returns the work to reserve. Age and remaining time in the message become times of the receiver's clock. */
    static WorkItem workItem(ReserveMessage m, long nowMillis) {
        return new WorkItem(
                new RequestId(m.request()),
                new ServiceId(m.service()),
                new CustomerId(m.customer()),
                m.kind(),
                m.priority(),
                m.promptTokens(),
                m.maxTokens(),
                m.prefixHashes(),
                nowMillis - m.ageMillis(),
                nowMillis + m.remainingMillis(),
                m.isRepeatable(),
                m.isPlain(),
                m.isSuspect(),
                m.model());
    }

    static StartMessage toMessage(EntryAction.SendStart a, long nowMillis) {
        return new StartMessage(
                requestId(a.attempt()),
                a.attempt().number(),
                a.grant().incarnation(),
                a.grant().sequence(),
                a.call().method(),
                a.call().path(),
                a.call().headers(),
                a.call().body(),
                a.deadlineMillis() - nowMillis,
                a.claimVersion());
    }

    static CancelReservationMessage toMessage(EntryAction.SendCancel a) {
        return new CancelReservationMessage(requestId(a.attempt()), a.attempt().number());
    }

    static AckMessage toMessage(EntryAction.SendAck a) {
        return new AckMessage(
                requestId(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset());
    }

    static ResumeMessage toMessage(EntryAction.SendResume a) {
        return new ResumeMessage(
                requestId(a.attempt()),
                a.attempt().number(),
                a.customer().value(),
                a.generation().toString(),
                a.offset());
    }

    static RevokeMessage toMessage(EntryAction.SendRevoke a) {
        return new RevokeMessage(
                requestId(a.attempt()),
                a.attempt().number(),
                a.grant().incarnation(),
                a.grant().sequence(),
                a.reason());
    }

    /** Returns the message of an agent's action, null if the action sends none. */
    static Message toMessage(AgentAction action) {
        if (action instanceof AgentAction.SendTokens a) {
            return new TokensMessage(
                    requestId(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset(), a.texts());
        }
        if (action instanceof AgentAction.SendGrant a) {
            return new GrantMessage(
                    requestId(a.attempt()),
                    a.attempt().number(),
                    a.grant().incarnation(),
                    a.grant().sequence(),
                    a.validMillis());
        }
        if (action instanceof AgentAction.SendRefuse a) {
            return new RefuseMessage(
                    requestId(a.attempt()), a.attempt().number(), a.kind().code(), a.retryAfterMillis());
        }
        if (action instanceof AgentAction.SendStarted a) {
            return new StartedMessage(
                    requestId(a.attempt()), a.attempt().number(), a.generation().toString());
        }
        if (action instanceof AgentAction.SendEnd a) {
            return new EndMessage(
                    requestId(a.attempt()),
                    a.attempt().number(),
                    a.generation().toString(),
                    a.totalTokens(),
                    a.finishReason(),
                    0,
                    Map.of(),
                    Payload.EMPTY);
        }
        if (action instanceof AgentAction.SendAnswer a) {
            return new EndMessage(
                    requestId(a.attempt()),
                    a.attempt().number(),
                    a.generation().toString(),
                    0,
                    "",
                    a.status(),
                    a.headers(),
                    a.body());
        }
        if (action instanceof AgentAction.SendFailed a) {
            return new FailedMessage(
                    requestId(a.attempt()),
                    a.attempt().number(),
                    a.generation(),
                    a.kind().code(),
                    a.outcome().code(),
                    a.offset());
        }
        if (action instanceof AgentAction.SendRevoked a) {
            return new RevokedMessage(
                    requestId(a.attempt()),
                    a.attempt().number(),
                    a.grant().incarnation(),
                    a.grant().sequence(),
                    a.isNeverStarted(),
                    a.state(),
                    a.status(),
                    a.contentType(),
                    a.body());
        }
        return null;
    }

    static BackendStatusMessage toMessage(BackendStatus status, long configVersion, List<String> suspects) {
        return new BackendStatusMessage(
                status.backend().value(),
                status.incarnation(),
                status.capacityTokens(),
                status.usedTokens(),
                status.running(),
                status.waiting(),
                status.expectedWaitMillis(),
                status.tokenGapMillis(),
                status.isDraining(),
                configVersion,
                suspects,
                List.copyOf(status.cachedPrefixes()));
    }

    static BackendStatus status(BackendStatusMessage m) {
        return new BackendStatus(
                new BackendId(m.backend()),
                m.incarnation(),
                m.capacityTokens(),
                m.usedTokens(),
                m.running(),
                m.waiting(),
                m.expectedWaitMillis(),
                m.tokenGapMillis(),
                m.isDraining(),
                new HashSet<>(m.cachedPrefixes()));
    }

    /**
     * Returns the state that a response to a revocation reports. States that are unknown to this release count as
     * {@code FORGOTTEN}, and so does {@code NEVER_STARTED} unless the flag {@code neverStarted} is set too.
     */
    static AttemptState state(RevokedMessage m) {
        for (AttemptState state : AttemptState.values()) {
            if (state.name().equals(m.state())) {
                boolean isConfirmed = m.neverStarted() || state != AttemptState.NEVER_STARTED;
                return isConfirmed ? state : AttemptState.FORGOTTEN;
            }
        }
        return AttemptState.FORGOTTEN;
    }

    /** Returns the result that a response to a revocation contains, null if the agent no longer has it. */
    static ClaimResult result(RevokedMessage m) {
        return m.status() == 0
                ? null
                : ClaimResult.of(m.status(), m.contentType(), m.body().bytes(), MAX_RESULT_BYTES);
    }

    /** Returns the outcome of a failure, {@code UNKNOWN} if this release does not know the value. */
    static RunOutcome outcome(FailedMessage m) {
        try {
            return RunOutcome.valueOf(m.outcome().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            return RunOutcome.UNKNOWN;
        }
    }

    private static String requestId(AttemptId attempt) {
        return attempt.request().value();
    }
}
