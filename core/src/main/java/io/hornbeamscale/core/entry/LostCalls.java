package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.id.AttemptId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls that must not be repeated and whose agent connection was lost after the hand-over. The agent is asked
 * repeatedly for the outcome, because a caller that receives an unknown outcome has to determine it by other means.
 */
final class LostCalls {
    /** The interval between two queries about the same call, in milliseconds. */
    static final long QUERY_INTERVAL_MILLIS = 500;
    /** How long an agent may leave queries unanswered before the outcome counts as unknown, in milliseconds. */
    static final long ANSWER_TIMEOUT_MILLIS = 5_000;

    private final Map<AttemptId, LostCall> calls = new LinkedHashMap<>();

    void add(AttemptId attempt, OpenRequest.Handover handover, List<EntryAction> actions, long nowMillis) {
        LostCall call = new LostCall(handover, nowMillis + ANSWER_TIMEOUT_MILLIS);
        calls.put(attempt, call);
        query(attempt, call, actions, nowMillis);
    }

    /** Returns whether this entry waits for the outcome of the given attempt. */
    boolean isPending(ClaimOwner holder) {
        LostCall call = calls.get(holder.attempt());
        return call != null
                && call.handover.backend().equals(holder.backend())
                && call.handover.grant().equals(holder.grant());
    }

    /** Records that the backend server still works on the call, which extends the wait for its outcome. */
    void markRunning(AttemptId attempt, long nowMillis) {
        calls.get(attempt).timeoutMillis = nowMillis + ANSWER_TIMEOUT_MILLIS;
    }

    void remove(AttemptId attempt) {
        calls.remove(attempt);
    }

    /** Repeats the queries that are due, and removes and returns the attempts whose agents did not answer in time. */
    List<AttemptId> tick(List<EntryAction> actions, long nowMillis) {
        List<AttemptId> unanswered = new ArrayList<>();
        for (Map.Entry<AttemptId, LostCall> entry : calls.entrySet()) {
            LostCall call = entry.getValue();
            if (nowMillis >= call.timeoutMillis) {
                unanswered.add(entry.getKey());
            } else if (nowMillis >= call.nextQueryMillis) {
                query(entry.getKey(), call, actions, nowMillis);
            }
        }
        unanswered.forEach(calls::remove);
        return unanswered;
    }

    private static void query(AttemptId attempt, LostCall call, List<EntryAction> actions, long nowMillis) {
        call.nextQueryMillis = nowMillis + QUERY_INTERVAL_MILLIS;
        actions.add(new EntryAction.SendRevoke(
                call.handover.backend(), attempt, call.handover.grant(), "the connection was lost"));
    }

    private static final class LostCall {
        final OpenRequest.Handover handover;
        long timeoutMillis;
        long nextQueryMillis;

        LostCall(OpenRequest.Handover handover, long timeoutMillis) {
            this.handover = handover;
            this.timeoutMillis = timeoutMillis;
        }
    }
}
