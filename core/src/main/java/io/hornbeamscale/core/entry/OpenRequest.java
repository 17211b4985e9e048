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

/** A request that waits or runs, as its entry sees it. */
final class OpenRequest {
    /** The request, null for a resumed stream. */
    final EntryRequest request;
    /** Assembles the response, null for plain calls. */
    final StreamAssembler assembler;

    final CustomerId customer;
    final Map<AttemptId, Handover> handovers = new LinkedHashMap<>();
    /** What became of every attempt that was handed over, also of those that ended. */
    final AttemptOutcomes record = new AttemptOutcomes();

    AttemptId current;
    /** The generation of a resumed stream, null otherwise. */
    GenerationId resumedGeneration;

    long goneMillis = -1;
    /** The claim of an attempt that never started, null if there is none. */
    ClaimOwner unusedClaim;

    OpenRequest(EntryRequest request, StreamAssembler assembler, CustomerId customer) {
        this.request = request;
        this.assembler = assembler;
        this.customer = customer;
    }

    boolean isResumed() {
        return request == null;
    }

    boolean isStreaming() {
        return request == null || request.isStreaming();
    }

    boolean isPlain() {
        return assembler == null;
    }

    boolean isRepeatable() {
        return request != null && request.work().isRepeatable();
    }

    boolean needsClaim() {
        return request != null && request.protection() == DuplicateProtection.CLAIM;
    }

    /** Notes the claim of an attempt that never started; null is ignored. */
    void noteUnused(ClaimOwner owner) {
        if (owner != null) {
            unusedClaim = owner;
        }
    }

    /** Returns whether a backend server is the one that an attempt was handed over to, or is about to be. */
    boolean isWith(AttemptId attempt, BackendId backend) {
        Handover handover = handovers.get(attempt);
        return handover != null && handover.backend().equals(backend);
    }

    /** Returns what may be told to the caller: an earlier attempt may have run although the last one did not. */
    RunOutcome truthful(RunOutcome last) {
        return last == RunOutcome.NOT_RUN ? record.outcome() : last;
    }

    record Handover(BackendId backend, GrantId grant, GenerationId generation) {}
}
