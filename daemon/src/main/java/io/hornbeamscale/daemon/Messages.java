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
import io.hornbeamscale.wire.message.Ack;
import io.hornbeamscale.wire.message.CancelReservation;
import io.hornbeamscale.wire.message.End;
import io.hornbeamscale.wire.message.Failed;
import io.hornbeamscale.wire.message.Grant;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.Refuse;
import io.hornbeamscale.wire.message.Reserve;
import io.hornbeamscale.wire.message.Resume;
import io.hornbeamscale.wire.message.Revoke;
import io.hornbeamscale.wire.message.Revoked;
import io.hornbeamscale.wire.message.Start;
import io.hornbeamscale.wire.message.Started;
import io.hornbeamscale.wire.message.Status;
import io.hornbeamscale.wire.message.Tokens;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Translates actions of the controllers into messages, and the values in messages into those of the core. */
final class Messages {
    private static final int MAX_RESULT_BYTES = 2_048;

    private Messages() {}

    static Reserve of(EntryAction.SendReserve a, long nowMillis) {
        WorkItem work = a.work();
        return new Reserve(
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
    static WorkItem work(Reserve m, long nowMillis) {
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

    static Start of(EntryAction.SendStart a, long nowMillis) {
        return new Start(
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

    static CancelReservation of(EntryAction.SendCancel a) {
        return new CancelReservation(request(a.attempt()), a.attempt().number());
    }

    static Ack of(EntryAction.SendAck a) {
        return new Ack(
                request(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset());
    }

    static Resume of(EntryAction.SendResume a) {
        return new Resume(
                request(a.attempt()),
                a.attempt().number(),
                a.customer().value(),
                a.generation().toString(),
                a.offset());
    }

    static Revoke of(EntryAction.SendRevoke a) {
        return new Revoke(
                request(a.attempt()),
                a.attempt().number(),
                a.grant().incarnation(),
                a.grant().sequence(),
                a.reason());
    }

    /** Returns the message of an agent's action, null if the action sends none. */
    static Message of(AgentAction action) {
        if (action instanceof AgentAction.SendTokens a) {
            return new Tokens(
                    request(a.attempt()), a.attempt().number(), a.generation().toString(), a.offset(), a.texts());
        }
        if (action instanceof AgentAction.SendGrant a) {
            return new Grant(
                    request(a.attempt()),
                    a.attempt().number(),
                    a.grant().incarnation(),
                    a.grant().sequence(),
                    a.validMillis());
        }
        if (action instanceof AgentAction.SendRefuse a) {
            return new Refuse(
                    request(a.attempt()), a.attempt().number(), a.kind().code(), a.retryAfterMillis());
        }
        if (action instanceof AgentAction.SendStarted a) {
            return new Started(
                    request(a.attempt()), a.attempt().number(), a.generation().toString());
        }
        if (action instanceof AgentAction.SendEnd a) {
            return new End(
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
            return new End(
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
            return new Failed(
                    request(a.attempt()),
                    a.attempt().number(),
                    a.generation(),
                    a.kind().code(),
                    a.outcome().code(),
                    a.offset());
        }
        if (action instanceof AgentAction.SendRevoked a) {
            return new Revoked(
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

    static Status of(BackendStatus status, long configVersion, List<String> suspects) {
        return new Status(
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

    static BackendStatus status(Status m) {
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
    static AttemptState state(Revoked m) {
        for (AttemptState state : AttemptState.values()) {
            if (state.name().equals(m.state())) {
                boolean isPromised = m.neverStarted() || state != AttemptState.NEVER_STARTED;
                return isPromised ? state : AttemptState.FORGOTTEN;
            }
        }
        return AttemptState.FORGOTTEN;
    }

    /** Returns the result in an answer, null if the agent no longer holds it. */
    static ClaimResult result(Revoked m) {
        return m.status() == 0
                ? null
                : ClaimResult.of(m.status(), m.contentType(), m.body().bytes(), MAX_RESULT_BYTES);
    }

    /** Returns the outcome of a failure; an outcome that is unknown to this release counts as unknown. */
    static RunOutcome outcome(Failed m) {
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
