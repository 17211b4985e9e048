package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.attempt.AttemptOutcomes;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.claim.DuplicateProtection;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.stream.StreamAssembler;
import java.util.LinkedHashMap;
import java.util.Map;

/** The state of a waiting or running request at its entry. */
final class OpenRequest {
    /** The submitted request, null for a resumed stream. */
    final EntryRequest submitted;
    /** Assembles the response, null for plain calls. */
    final StreamAssembler assembler;

    final CustomerId customer;
    final Map<AttemptId, Handover> handovers = new LinkedHashMap<>();
    /** The outcomes of all attempts that were handed over, including ended ones. */
    final AttemptOutcomes attemptOutcomes = new AttemptOutcomes();

    /** The attempt whose stream is delivered, null before its hand-over and for plain calls. */
    AttemptId currentAttempt;
    /** The generation of a resumed stream, null otherwise. */
    GenerationId resumedGeneration;

    /** When the caller of a stream disconnected, -1 while it is connected. */
    long disconnectedMillis = -1;
    /** The claim of an attempt that never started, null if there is none. */
    ClaimOwner unusedClaim;

    OpenRequest(EntryRequest submitted, StreamAssembler assembler, CustomerId customer) {
        this.submitted = submitted;
        this.assembler = assembler;
        this.customer = customer;
    }

    boolean isResumed() {
        return submitted == null;
    }

    boolean isStreaming() {
        return submitted == null || submitted.isStreaming();
    }

    boolean isPlain() {
        return assembler == null;
    }

    boolean isRepeatable() {
        return submitted != null && submitted.work().isRepeatable();
    }

    boolean needsClaim() {
        return submitted != null && submitted.protection() == DuplicateProtection.CLAIM;
    }

    /** Records the claim of an attempt that never started; null is ignored. */
    void setUnusedClaim(ClaimOwner owner) {
        if (owner != null) {
            unusedClaim = owner;
        }
    }

    /** Returns whether an attempt was, or is about to be, handed over to a backend server. */
    boolean isHandedOverTo(AttemptId attempt, BackendId backend) {
        Handover handover = handovers.get(attempt);
        return handover != null && handover.backend().equals(backend);
    }

    /** Returns the outcome to report to the caller: an earlier attempt may have run although the last one did not. */
    RunOutcome overallOutcome(RunOutcome last) {
        return last == RunOutcome.NOT_RUN ? attemptOutcomes.outcome() : last;
    }

    record Handover(BackendId backend, GrantId grant, GenerationId generation) {}
}
