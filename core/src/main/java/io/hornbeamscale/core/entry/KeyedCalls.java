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

/** Tracks the calls of one entry that need a claim on their idempotency key, from the grant to the recorded result. */
final class KeyedCalls {
    /** The largest response body that is recorded, in bytes; a claim partition holds at most 1 MB. */
    private static final int MAX_RESULT_BYTES = 2_048;

    private final ClaimController claims;
    private final Map<AttemptId, KeyedCall> calls = new HashMap<>();

    KeyedCalls(ClaimController claims) {
        this.claims = claims;
    }

    /** Requests the claim for a call that holds a grant. */
    List<ClaimAction> requestClaim(
            DispatchAction.SendStart start, EntryRequest request, ClaimOwner earlier, long nowMillis) {
        ClaimKey key = ClaimKey.of(request.work().customer(), request.work().service(), request.idempotencyKey());
        ClaimOwner owner = new ClaimOwner(start.attempt(), start.backend(), start.grant());
        calls.put(start.attempt(), new KeyedCall(key, owner, start));
        String fingerprint = TruncatedSha256.of(
                request.call().body().bytes(),
                request.call().method(),
                request.call().path());
        ClaimRequest claimRequest =
                new ClaimRequest(key, fingerprint, owner, earlier, start.work().deadlineMillis());
        return claims.claim(claimRequest, nowMillis);
    }

    /** Returns the start that waits for its claim, null if there is none. */
    DispatchAction.SendStart unclaimedStart(AttemptId attempt) {
        KeyedCall call = calls.get(attempt);
        return call == null || call.isClaimed ? null : call.start;
    }

    void markClaimed(AttemptId attempt) {
        calls.get(attempt).isClaimed = true;
    }

    /** Records the result of a call. */
    List<ClaimAction> recordResult(
            AttemptId attempt, int status, Map<String, String> headers, Payload body, long nowMillis) {
        KeyedCall call = calls.remove(attempt);
        if (call == null) {
            return List.of();
        }
        ClaimResult result = ClaimResult.of(status, headers.get("content-type"), body.bytes(), MAX_RESULT_BYTES);
        return claims.finished(call.key, call.owner, result, nowMillis);
    }

    /**
     * Removes an attempt that is known not to have started and returns its claim, null if it has none. The next attempt
     * supersedes this claim.
     */
    ClaimOwner removeUnstarted(AttemptId attempt) {
        KeyedCall call = calls.remove(attempt);
        return call == null ? null : call.owner;
    }

    /** Withdraws the pending claims of a request whose caller no longer waits. */
    List<ClaimAction> withdrawn(RequestId request, long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        for (KeyedCall call : List.copyOf(calls.values())) {
            if (call.owner.attempt().request().equals(request) && !call.isClaimed) {
                calls.remove(call.owner.attempt());
                actions.addAll(claims.withdrawn(call.owner, nowMillis));
            }
        }
        return actions;
    }

    /** Releases the claim of an attempt that never started and is not followed by another attempt. */
    List<ClaimAction> released(EntryRequest request, ClaimOwner owner, long nowMillis) {
        ClaimKey key = ClaimKey.of(request.work().customer(), request.work().service(), request.idempotencyKey());
        return claims.released(key, owner, nowMillis);
    }

    /** Stops tracking a call whose outcome is unknown; its claim stays in the store. */
    void forget(AttemptId attempt) {
        calls.remove(attempt);
    }

    List<ClaimAction> revokeAnswered(ClaimOwner holder, AttemptState state, ClaimResult result, long nowMillis) {
        return claims.revokeAnswered(holder, state, result, nowMillis);
    }

    List<ClaimAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        return claims.storeReplied(call, reply, nowMillis);
    }

    List<ClaimAction> setMembers(List<NodeId> live, long nowMillis) {
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

    /** Returns the recorded response of a call that was executed before. */
    static EntryAction.Answer replayedAnswer(RequestId request, ClaimResult result) {
        Map<String, String> headers = new HashMap<>();
        if (!result.contentType().isEmpty()) {
            headers.put("content-type", result.contentType());
        }
        headers.put("idempotent-replayed", "true");
        byte[] body = result.body().orElse(new byte[0]);
        return new EntryAction.Answer(request, result.status(), headers, Payload.of(body));
    }

    static EntryAction.Fail refusal(RequestId request, ErrorKind kind, RunOutcome outcome) {
        return new EntryAction.Fail(request, kind, outcome, 0, 0);
    }

    private static final class KeyedCall {
        final ClaimKey key;
        final ClaimOwner owner;
        final DispatchAction.SendStart start;
        boolean isClaimed;

        KeyedCall(ClaimKey key, ClaimOwner owner, DispatchAction.SendStart start) {
            this.key = key;
            this.owner = owner;
            this.start = start;
        }
    }
}
