package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.ClaimNeed;
import io.hornbeamscale.core.claim.ClaimOwner;
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
        return request != null && request.need() == ClaimNeed.CLAIM;
    }

    record Handover(BackendId backend, GrantId grant, GenerationId generation) {}
}
