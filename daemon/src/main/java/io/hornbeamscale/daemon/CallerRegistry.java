package io.hornbeamscale.daemon;

import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.error.ErrorResponses;
import io.hornbeamscale.core.id.RequestId;
import java.util.HashMap;
import java.util.Map;

/** The callers with open requests; carries out the actions that send responses to them. Used on the control thread. */
final class CallerRegistry {
    private final Map<RequestId, Caller> callers = new HashMap<>();
    private final EntryMetrics metrics;

    CallerRegistry(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    void add(RequestId id, Caller caller) {
        callers.put(id, caller);
        metrics.countRequest();
    }

    /** Removes a caller that has disconnected, and returns whether its request was still open. */
    boolean remove(RequestId id) {
        return callers.remove(id) != null;
    }

    boolean isWaiting(RequestId id) {
        return callers.containsKey(id);
    }

    int size() {
        return callers.size();
    }

    void carryOut(EntryAction action) {
        if (action instanceof EntryAction.Deliver a) {
            Caller caller = callers.get(a.request());
            if (caller != null) {
                metrics.countTokens(a.texts().size());
                caller.deliver(a);
            }
        } else if (action instanceof EntryAction.Restart a) {
            Caller caller = callers.get(a.request());
            if (caller != null) {
                caller.restart(a);
            }
        } else if (action instanceof EntryAction.Finish a) {
            Caller caller = callers.remove(a.request());
            if (caller != null) {
                metrics.countFinished();
                caller.finish(a);
            }
        } else if (action instanceof EntryAction.Answer a) {
            Caller caller = callers.remove(a.request());
            if (caller != null) {
                metrics.countFinished();
                caller.answer(a);
            }
        } else if (action instanceof EntryAction.Fail a) {
            metrics.countError(a.kind());
            Caller caller = callers.remove(a.request());
            if (caller != null) {
                caller.fail(a, ErrorResponses.of(a.kind()).httpStatus());
            }
        }
    }
}
