package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.claim.ClaimAction;
import io.hornbeamscale.core.claim.ClaimOpReply;
import io.hornbeamscale.core.claim.ClaimOwner;
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
import java.util.ArrayList;
import java.util.List;

/** Handles the claim events of one entry. Every method returns the actions to carry out, never null. */
public final class ClaimEventHandler {
    private final EntryController controller;
    private final KeyedCalls keyed;

    ClaimEventHandler(EntryController controller, KeyedCalls keyed) {
        this.controller = controller;
        this.keyed = keyed;
    }

    /**
     * Handles the answer to a revocation.
     *
     * @param holder the attempt that was asked about, not null
     * @param state the state of the attempt as the agent knows it, not null
     * @param result the result if the agent still holds it, otherwise null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> revoked(ClaimOwner holder, AttemptState state, ClaimResult result, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        if (controller.lostCalls().isPending(holder)) {
            resolveLost(holder.attempt(), state, result, actions, nowMillis);
        }
        carryOut(keyed.revokeAnswered(holder, state, result, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles a reply of the store.
     *
     * @param call the call that was replied to, not null
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        carryOut(keyed.storeReplied(call, reply, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Sets the entries from which the writers of the claim partitions are chosen.
     *
     * @param live the entries, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> setMembers(List<NodeId> live, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        carryOut(keyed.setMembers(live, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles a claim operation that another entry forwarded.
     *
     * @param from the entry, not null
     * @param forward the operation, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> forwarded(NodeId from, ForwardedClaimOp forward, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        carryOut(keyed.forwarded(from, forward, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the answer to a forwarded claim operation.
     *
     * @param answer the answer, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> answered(ClaimOpReply answer, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        carryOut(keyed.answered(answer, nowMillis), actions, nowMillis);
        return actions;
    }

    /** Translates claim actions into entry actions. */
    void carryOut(List<ClaimAction> claimActions, List<EntryAction> actions, long nowMillis) {
        for (ClaimAction action : claimActions) {
            if (action instanceof ClaimAction.CallStore a) {
                actions.add(new EntryAction.CallStore(a.call()));
            } else if (action instanceof ClaimAction.Proceed a) {
                proceed(a.owner().attempt(), actions, nowMillis);
            } else if (action instanceof ClaimAction.Replay a) {
                RequestId id = a.owner().attempt().request();
                endWithClaimResult(a.owner().attempt(), KeyedCalls.replayedAnswer(id, a.result()), actions, nowMillis);
            } else if (action instanceof ClaimAction.Refuse a) {
                RequestId id = a.owner().attempt().request();
                EntryAction refusal = KeyedCalls.refusal(id, a.kind(), a.outcome());
                endWithClaimResult(a.owner().attempt(), refusal, actions, nowMillis);
            } else if (action instanceof ClaimAction.AskRevoke a) {
                ClaimOwner holder = a.holder();
                actions.add(new EntryAction.SendRevoke(
                        holder.backend(), holder.attempt(), holder.grant(), "a resend of the call asks"));
            } else if (action instanceof ClaimAction.SendForward a) {
                actions.add(new EntryAction.SendClaimForward(a.writer(), a.forward()));
            } else if (action instanceof ClaimAction.SendAnswer a) {
                actions.add(new EntryAction.SendClaimAnswer(a.entry(), a.answer()));
            }
        }
    }

    /** Fails the requests of attempts about which the agent gave no answer in time. */
    void failUnanswered(List<AttemptId> unanswered, List<EntryAction> actions, long nowMillis) {
        for (AttemptId attempt : unanswered) {
            OpenRequest request = controller.request(attempt.request());
            if (request != null) {
                controller.fail(attempt, request, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, actions, nowMillis);
            }
        }
    }

    private void resolveLost(
            AttemptId attempt, AttemptState state, ClaimResult result, List<EntryAction> actions, long nowMillis) {
        OpenRequest request = controller.request(attempt.request());
        if (state == AttemptState.RUNNING && request != null) {
            controller.lostCalls().markRunning(attempt, nowMillis);
            return;
        }
        controller.lostCalls().remove(attempt);
        if (request == null) {
            return;
        }
        if (state == AttemptState.ENDED && result != null && result.body().isPresent()) {
            EntryAction.Answer answer = KeyedCalls.replayedAnswer(attempt.request(), result);
            actions.addAll(controller
                    .responses()
                    .answered(attempt, answer.status(), answer.headers(), answer.body(), nowMillis));
        } else if (state == AttemptState.NEVER_STARTED) {
            controller.fail(attempt, request, ErrorKind.NO_BACKEND, RunOutcome.NOT_RUN, actions, nowMillis);
        } else {
            RunOutcome outcome = state == AttemptState.ENDED ? RunOutcome.RAN : RunOutcome.UNKNOWN;
            controller.fail(attempt, request, ErrorKind.OUTCOME_UNKNOWN, outcome, actions, nowMillis);
        }
    }

    private void proceed(AttemptId attempt, List<EntryAction> actions, long nowMillis) {
        DispatchAction.SendStart start = keyed.unclaimedStart(attempt);
        OpenRequest request = controller.request(attempt.request());
        if (start == null || request == null || !controller.dispatcher().isLive(attempt)) {
            controller.releaseUnused(request, keyed.removeUnstarted(attempt), actions, nowMillis);
            return;
        }
        keyed.markClaimed(attempt);
        EntryController.sendStart(start, request, 1, actions);
    }

    /** Ends a request with the outcome of its claim; the attempt that requested the claim is not handed over. */
    private void endWithClaimResult(AttemptId attempt, EntryAction end, List<EntryAction> actions, long nowMillis) {
        keyed.forget(attempt);
        if (controller.close(attempt.request())) {
            actions.add(end);
            controller.dispatch(controller.dispatcher().cancelled(attempt.request(), nowMillis), actions, nowMillis);
        }
    }
}
