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

/** Translates actions of the controllers into messages, and the values in messages into those of the core. */
final class Messages {
    private static final int MAX_RESULT_BYTES = 2_048;

    private Messages() {}

    static ReserveMessage of(EntryAction.SendReserve a, long nowMillis) {
        WorkItem work = a.work();
        return new ReserveMessage(
                request(a.attempt()),
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

    /** Converts age and remaining time into times of the receiver's clock. */
    static WorkItem work(ReserveMessage m, long nowMillis) {
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

    static StartMessage of(EntryAction.SendStart a, long nowMillis) {
        return new StartMessage(
                request(a.attempt()),
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

    static CancelReservationMessage of(EntryAction.SendCancel a) {
        return new CancelReservationMessage(request(a.attempt()), a.attempt().number());
    }

    static AckMessage of(EntryAction.SendAck a) {
        return new AckMessage(
                request(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset());
    }

    static ResumeMessage of(EntryAction.SendResume a) {
        return new ResumeMessage(
                request(a.attempt()),
                a.attempt().number(),
                a.customer().value(),
                a.generation().toString(),
                a.offset());
    }

    static RevokeMessage of(EntryAction.SendRevoke a) {
        return new RevokeMessage(
                request(a.attempt()),
                a.attempt().number(),
                a.grant().incarnation(),
                a.grant().sequence(),
                a.reason());
    }

    /** Returns the message of an agent's action, null if the action sends none. */
    static Message of(AgentAction action) {
        if (action instanceof AgentAction.SendTokens a) {
            return new TokensMessage(
                    request(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset(), a.texts());
        }
        if (action instanceof AgentAction.SendGrant a) {
            return new GrantMessage(
                    request(a.attempt()),
                    a.attempt().number(),
                    a.grant().incarnation(),
                    a.grant().sequence(),
                    a.validMillis());
        }
        if (action instanceof AgentAction.SendRefuse a) {
            return new RefuseMessage(
                    request(a.attempt()), a.attempt().number(), a.kind().code(), a.retryAfterMillis());
        }
        if (action instanceof AgentAction.SendStarted a) {
            return new StartedMessage(
                    request(a.attempt()), a.attempt().number(), a.generation().toString());
        }
        if (action instanceof AgentAction.SendEnd a) {
            return new EndMessage(
                    request(a.attempt()),
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
                    request(a.attempt()),
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
                    request(a.attempt()),
                    a.attempt().number(),
                    a.generation(),
                    a.kind().code(),
                    a.outcome().code(),
                    a.offset());
        }
        if (action instanceof AgentAction.SendRevoked a) {
            return new RevokedMessage(
                    request(a.attempt()),
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

    static BackendStatusMessage of(BackendStatus status, long configVersion, List<String> suspects) {
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

    /** Returns the state in an answer; a state that is unknown to this release counts as forgotten. */
    static AttemptState state(RevokedMessage m) {
        for (AttemptState state : AttemptState.values()) {
            if (state.name().equals(m.state())) {
                boolean isPromised = m.neverStarted() || state != AttemptState.NEVER_STARTED;
                return isPromised ? state : AttemptState.FORGOTTEN;
            }
        }
        return AttemptState.FORGOTTEN;
    }

    /** Returns the result in an answer, null if the agent no longer holds it. */
    static ClaimResult result(RevokedMessage m) {
        return m.status() == 0
                ? null
                : ClaimResult.of(m.status(), m.contentType(), m.body().bytes(), MAX_RESULT_BYTES);
    }

    /** Returns the outcome of a failure; an outcome that is unknown to this release counts as unknown. */
    static RunOutcome outcome(FailedMessage m) {
        try {
            return RunOutcome.valueOf(m.outcome().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            return RunOutcome.UNKNOWN;
        }
    }

    private static String request(AttemptId attempt) {
        return attempt.request().value();
    }
}
