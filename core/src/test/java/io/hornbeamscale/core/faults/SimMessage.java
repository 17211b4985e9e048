package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.claim.ClaimOpReply;
import io.hornbeamscale.core.claim.ForwardedClaimOp;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.fence.FencedCommand;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;

/** The messages between simulated processes. */
sealed interface SimMessage {
    record Reserve(AttemptId attempt, boolean isPlain, boolean isSuspect) implements SimMessage {}

    record ReserveWork(AttemptId attempt, WorkItem work) implements SimMessage {}

    record Status(BackendStatus status) implements SimMessage {}

    record Cancel(AttemptId attempt) implements SimMessage {}

    record Grant(AttemptId attempt, GrantId grant) implements SimMessage {}

    record Refuse(AttemptId attempt, ErrorKind kind) implements SimMessage {}

    record Start(AttemptId attempt, GrantId grant, Call call) implements SimMessage {}

    record Tokens(AttemptId attempt, GenerationId generation, long offset, List<String> texts) implements SimMessage {}

    record End(AttemptId attempt, GenerationId generation, long total) implements SimMessage {}

    record PlainEnd(AttemptId attempt, GenerationId generation, String response) implements SimMessage {}

    record Failed(AttemptId attempt, GenerationId generation, ErrorKind kind, RunOutcome outcome)
            implements SimMessage {}

    record Ack(GenerationId generation, long offset) implements SimMessage {}

    record Resume(AttemptId attempt, CustomerId customer, GenerationId generation, long offset) implements SimMessage {}

    record Revoke(AttemptId attempt, GrantId grant, boolean isForClaim) implements SimMessage {}

    record Revoked(AttemptId attempt, GrantId grant, AttemptState state, String response, boolean isForClaim)
            implements SimMessage {}

    record Draining() implements SimMessage {}

    record Crashed(CrashReport report) implements SimMessage {}

    record News(QuarantineUpdate news) implements SimMessage {}

    record Forward(ForwardedClaimOp forward) implements SimMessage {}

    record Answer(ClaimOpReply answer) implements SimMessage {}

    record Command(FencedCommand command) implements SimMessage {}

    // A call that a caller makes; it is part of a Start message.
    record Call(CallKind kind, String body, String key, boolean isPoison, CustomerId customer) {}
}
