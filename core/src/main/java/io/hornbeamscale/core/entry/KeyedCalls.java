package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.claim.ClaimAction;
import io.hornbeamscale.core.claim.ClaimController;
import io.hornbeamscale.core.claim.ClaimKey;
import io.hornbeamscale.core.claim.ClaimOpReply;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.claim.ClaimRequest;
import io.hornbeamscale.core.claim.ClaimResult;
import io.hornbeamscale.core.claim.ForwardedClaimOp;
import io.hornbeamscale.core.dispatch.DispatchAction;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.TruncatedSha256;
import io.hornbeamscale.core.work.Payload;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The keyed calls of one entry that need a claim, from the grant to the recorded result. */
final class KeyedCalls {
    /** The greatest body of a result that is recorded, in bytes; partitions of claims hold at most 1 MB. */
    private static final int MAX_RESULT_BYTES = 2_048;

    private final ClaimController claims;
    private final Map<AttemptId, Keyed> calls = new HashMap<>();

    KeyedCalls(ClaimController claims) {
        this.claims = claims;
    }

    /** Asks for the claim of a call that holds a grant. */
    List<ClaimAction> begin(DispatchAction.SendStart start, EntryRequest request, ClaimOwner earlier, long nowMillis) {
        ClaimKey key = ClaimKey.of(request.work().customer(), request.work().service(), request.idempotencyKey());
        ClaimOwner owner = new ClaimOwner(start.attempt(), start.backend(), start.grant());
        calls.put(start.attempt(), new Keyed(key, owner, start));
        String fingerprint = TruncatedSha256.of(
                request.call().body().bytes(),
                request.call().method(),
                request.call().path());
        ClaimRequest call =
                new ClaimRequest(key, fingerprint, owner, earlier, start.work().deadlineMillis());
        return claims.claim(call, nowMillis);
    }

    /** Returns the start that waits for its claim, null if there is none. */
    DispatchAction.SendStart waitingStart(AttemptId attempt) {
        Keyed keyed = calls.get(attempt);
        return keyed == null || keyed.isProceeding ? null : keyed.start;
    }

    void proceed(AttemptId attempt) {
        calls.get(attempt).isProceeding = true;
    }

    /** Records the result of a call. */
    List<ClaimAction> answered(
            AttemptId attempt, int status, Map<String, String> headers, Payload body, long nowMillis) {
        Keyed keyed = calls.remove(attempt);
        if (keyed == null) {
            return List.of();
        }
        ClaimResult result = ClaimResult.of(status, headers.get("content-type"), body.bytes(), MAX_RESULT_BYTES);
        return claims.finished(keyed.key, keyed.owner, result, nowMillis);
    }

    /**
     * Returns the claim of an attempt that certainly never started, null if it has none. The next attempt supersedes
     * it.
     */
    ClaimOwner notStarted(AttemptId attempt) {
        Keyed keyed = calls.remove(attempt);
        return keyed == null ? null : keyed.owner;
    }

    /** Gives up claims that wait for a caller that went away. */
    List<ClaimAction> withdrawn(RequestId request, long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        for (Keyed keyed : List.copyOf(calls.values())) {
            if (keyed.owner.attempt().request().equals(request) && !keyed.isProceeding) {
                calls.remove(keyed.owner.attempt());
                actions.addAll(claims.withdrawn(keyed.owner, nowMillis));
            }
        }
        return actions;
    }

    /** Gives up the claim of an attempt that never started, as no other attempt follows. */
    List<ClaimAction> released(EntryRequest request, ClaimOwner owner, long nowMillis) {
        ClaimKey key = ClaimKey.of(request.work().customer(), request.work().service(), request.idempotencyKey());
        return claims.released(key, owner, nowMillis);
    }

    /** Forgets a call whose outcome is unknown; its claim stays. */
    void forget(AttemptId attempt) {
        calls.remove(attempt);
    }

    List<ClaimAction> revokeAnswered(ClaimOwner holder, AttemptState state, ClaimResult result, long nowMillis) {
        return claims.revokeAnswered(holder, state, result, nowMillis);
    }

    List<ClaimAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        return claims.storeReplied(call, reply, nowMillis);
    }

    List<ClaimAction> members(List<NodeId> live, long nowMillis) {
        return claims.setMembers(live, nowMillis);
    }

    List<ClaimAction> forwarded(NodeId from, ForwardedClaimOp forward, long nowMillis) {
        return claims.forwarded(from, forward, nowMillis);
    }

    List<ClaimAction> answered(ClaimOpReply answer, long nowMillis) {
        return claims.answered(answer, nowMillis);
    }

    List<ClaimAction> tick(long nowMillis) {
        return claims.tick(nowMillis);
    }

    /** Returns the response to a caller whose call was executed before. */
    static EntryAction.Answer replay(RequestId request, ClaimResult result) {
        Map<String, String> headers = new HashMap<>();
        if (!result.contentType().isEmpty()) {
            headers.put("content-type", result.contentType());
        }
        headers.put("idempotent-replayed", "true");
        byte[] body = result.body().orElse(new byte[0]);
        return new EntryAction.Answer(request, result.status(), headers, Payload.of(body));
    }

    /** Returns the refusal of a call. */
    static EntryAction.Fail refusal(RequestId request, ErrorKind kind, RunOutcome outcome) {
        return new EntryAction.Fail(request, kind, outcome, 0, 0);
    }

    private static final class Keyed {
        final ClaimKey key;
        final ClaimOwner owner;
        final DispatchAction.SendStart start;
        boolean isProceeding;

        Keyed(ClaimKey key, ClaimOwner owner, DispatchAction.SendStart start) {
            this.key = key;
            this.owner = owner;
            this.start = start;
        }
    }
}
