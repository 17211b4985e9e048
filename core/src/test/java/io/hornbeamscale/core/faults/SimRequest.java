package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.attempt.AttemptOutcomes;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.DeliveryMode;
import io.hornbeamscale.core.stream.StreamAssembler;

/** The state of a request at a simulated entry. */
final class SimRequest {
    enum Phase {
        RESERVING,
        CLAIMING,
        HANDED_OVER
    }

    final RequestId id;
    final SimCaller caller;
    final int session;
    final SimMessage.Call call;
    final long deadlineMillis;
    final AttemptOutcomes record = new AttemptOutcomes();
    final StreamAssembler assembler;
    AttemptId attempt;
    SimAgent agent;
    GrantId grant;
    GenerationId generation;
    ClaimOwner owner;
    ClaimOwner supersedes;
    Phase phase = Phase.RESERVING;
    long phaseSinceMillis;
    boolean isRevoking;
    long revokeSentMillis = -1_000;

    SimRequest(RequestId id, SimCaller caller, int session, SimMessage.Call call, long deadlineMillis) {
        this.id = id;
        this.caller = caller;
        this.session = session;
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        assembler = new StreamAssembler(mode(call.kind()), true);
    }

    private static DeliveryMode mode(CallKind kind) {
        return switch (kind) {
            case STREAM -> DeliveryMode.STREAM;
            case STREAM_OR_RESTART -> DeliveryMode.STREAM_OR_RESTART;
            default -> DeliveryMode.WHOLE;
        };
    }

    void enter(Phase next, long nowMillis) {
        phase = next;
        phaseSinceMillis = nowMillis;
        isRevoking = false;
    }

    boolean isHandedOver() {
        return phase == Phase.HANDED_OVER;
    }

    boolean isCurrent(AttemptId ofAttempt, GenerationId ofGeneration) {
        return isHandedOver() && ofAttempt.equals(attempt) && ofGeneration.equals(generation);
    }
}
