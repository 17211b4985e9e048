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

/** The messages between the processes. */
sealed interface Msg {
    record Reserve(AttemptId attempt, boolean isPlain, boolean isSuspect) implements Msg {}

    record ReserveWork(AttemptId attempt, WorkItem work) implements Msg {}

    record Status(BackendStatus status) implements Msg {}

    record Cancel(AttemptId attempt) implements Msg {}

    record Grant(AttemptId attempt, GrantId grant) implements Msg {}

    record Refuse(AttemptId attempt, ErrorKind kind) implements Msg {}

    record Start(AttemptId attempt, GrantId grant, Call call) implements Msg {}

    record Tokens(AttemptId attempt, GenerationId generation, long offset, List<String> texts) implements Msg {}

    record End(AttemptId attempt, GenerationId generation, long total) implements Msg {}

    record PlainEnd(AttemptId attempt, GenerationId generation, String response) implements Msg {}

    record Failed(AttemptId attempt, GenerationId generation, ErrorKind kind, RunOutcome outcome) implements Msg {}

    record Ack(GenerationId generation, long offset) implements Msg {}

    record Resume(AttemptId attempt, CustomerId customer, GenerationId generation, long offset) implements Msg {}

    record Revoke(AttemptId attempt, GrantId grant, boolean isForClaim) implements Msg {}

    record Revoked(AttemptId attempt, GrantId grant, AttemptState state, String response, boolean isForClaim)
            implements Msg {}

    record Draining() implements Msg {}

    record Crashed(CrashReport report) implements Msg {}

    record News(QuarantineUpdate news) implements Msg {}

    record Forward(ForwardedClaimOp forward) implements Msg {}

    record Answer(ClaimOpReply answer) implements Msg {}

    record Command(FencedCommand command) implements Msg {}

    // What a caller asks for.
    record Call(CallKind kind, String body, String key, boolean isPoison, CustomerId customer) {}
}
