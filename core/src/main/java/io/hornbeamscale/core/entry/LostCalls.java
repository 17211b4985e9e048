package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.id.AttemptId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls that must not be repeated and whose connection was lost after the hand-over. The agent is asked until it tells
 * what became of the call, since a caller that is told "unknown" has to find out by other means.
 */
final class LostCalls {
    /** The pause between two questions, in milliseconds. */
    static final long ASK_MILLIS = 500;
    /** How long an agent may stay silent before the outcome is unknown, in milliseconds. */
    static final long SILENT_MILLIS = 5_000;

    private final Map<AttemptId, LostCall> calls = new LinkedHashMap<>();

    void add(AttemptId attempt, OpenRequest.Handover handover, List<EntryAction> actions, long nowMillis) {
        LostCall call = new LostCall(handover, nowMillis + SILENT_MILLIS);
        calls.put(attempt, call);
        ask(attempt, call, actions, nowMillis);
    }

    /** Returns whether an agent speaks of a lost call of this entry. */
    boolean isAsked(ClaimOwner holder) {
        LostCall call = calls.get(holder.attempt());
        return call != null
                && call.handover.backend().equals(holder.backend())
                && call.handover.grant().equals(holder.grant());
    }

    /** Notes that the backend server still works on the call. */
    void stillRuns(AttemptId attempt, long nowMillis) {
        calls.get(attempt).silentFromMillis = nowMillis + SILENT_MILLIS;
    }

    void remove(AttemptId attempt) {
        calls.remove(attempt);
    }

    /** Asks again where it is time, and returns the attempts whose agents stayed silent for too long. */
    List<AttemptId> tick(List<EntryAction> actions, long nowMillis) {
        List<AttemptId> silent = new ArrayList<>();
        for (Map.Entry<AttemptId, LostCall> entry : calls.entrySet()) {
            LostCall call = entry.getValue();
            if (nowMillis >= call.silentFromMillis) {
                silent.add(entry.getKey());
            } else if (nowMillis >= call.nextAskMillis) {
                ask(entry.getKey(), call, actions, nowMillis);
            }
        }
        silent.forEach(calls::remove);
        return silent;
    }

    private static void ask(AttemptId attempt, LostCall call, List<EntryAction> actions, long nowMillis) {
        call.nextAskMillis = nowMillis + ASK_MILLIS;
        actions.add(new EntryAction.SendRevoke(
                call.handover.backend(), attempt, call.handover.grant(), "the connection was lost"));
    }

    private static final class LostCall {
        final OpenRequest.Handover handover;
        long silentFromMillis;
        long nextAskMillis;

        LostCall(OpenRequest.Handover handover, long silentFromMillis) {
            this.handover = handover;
            this.silentFromMillis = silentFromMillis;
        }
    }
}
