package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.EventId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** A simulated caller that sends a request, resends it after faults if its kind allows, and checks the response. */
final class SimCaller {
    private static final Set<ErrorKind> RESENT_KINDS = EnumSet.of(
            ErrorKind.IN_PROGRESS,
            ErrorKind.CLAIMS_UNAVAILABLE,
            ErrorKind.DRAINING,
            ErrorKind.NO_BACKEND,
            ErrorKind.DEADLINE_EXCEEDED,
            ErrorKind.REVOKED);

    final SimMessage.Call call;
    String ending;
    boolean isServed;
    long sentMillis = -1;
    long endedMillis;
    private final FaultSimulation sim;
    private final int maxResends;
    private final List<String> tokens = new ArrayList<>();
    private EventId lastEventId;
    private int session;
    private int resends;

    SimCaller(FaultSimulation sim, SimMessage.Call call, int maxResends) {
        this.sim = sim;
        this.call = call;
        this.maxResends = maxResends;
    }

    void send() {
        if (sentMillis < 0) {
            sentMillis = sim.now;
        }
        SimEntry entry = sim.anyEntry();
        session++;
        if (entry == null) {
            retryLater("no entry");
            return;
        }
        int current = session;
        EventId last = lastEventId;
        long incarnation = entry.incarnation;
        sim.after(1 + sim.random.nextInt(3), () -> {
            if (!entry.isUp || entry.incarnation != incarnation) {
                connectionLost(current);
                return;
            }
            entry.connected(this, current);
            entry.run(incarnation, () -> entry.accept(this, current, call, last));
        });
    }

    void connectionLost(int ofSession) {
        if (isOver(ofSession)) {
            return;
        }
        if (call.kind() == CallKind.UNKEYED) {
            end("connection lost", false);
        } else {
            retryLater("connection lost");
        }
    }

    void tokens(int ofSession, EventId id, List<String> texts) {
        if (isOver(ofSession)) {
            return;
        }
        int from = tokens.size();
        tokens.addAll(texts);
        lastEventId = id;
        sim.invariants.received(call.body(), tokens, from, false);
    }

    void restart(int ofSession) {
        if (!isOver(ofSession)) {
            tokens.clear();
            lastEventId = null;
        }
    }

    void streamEnd(int ofSession) {
        if (!isOver(ofSession)) {
            sim.invariants.received(call.body(), tokens, tokens.size(), true);
            end("complete", true);
        }
    }

    void whole(int ofSession, List<String> texts) {
        if (!isOver(ofSession)) {
            sim.invariants.received(call.body(), texts, 0, true);
            end("complete", true);
        }
    }

    void response(int ofSession, String response) {
        if (!isOver(ofSession)) {
            sim.invariants.response(SimBackend.response(call), response);
            end("complete", true);
        }
    }

    void error(int ofSession, RequestId request, ErrorKind kind, RunOutcome outcome) {
        sim.invariants.outcomeReported(request, outcome);
        if (isOver(ofSession)) {
            return;
        }
        String text = kind.code() + "/" + outcome.code();
        boolean isKeyed = call.kind() == CallKind.KEYED && kind == ErrorKind.OUTCOME_UNKNOWN;
        boolean isPersistent = call.isPoison() && kind != ErrorKind.REQUEST_QUARANTINED;
        if (RESENT_KINDS.contains(kind) || isKeyed || isPersistent) {
            if (call.kind() != CallKind.UNKEYED || outcome == RunOutcome.NOT_RUN) {
                tokens.clear();
                lastEventId = null;
                retryLater(text);
                return;
            }
        }
        // A reused key with another body is rejected even without faults, so this rejection counts as served.
        end(text, kind == ErrorKind.KEY_REUSED);
    }

    private void retryLater(String reason) {
        if (resends++ >= maxResends) {
            end(reason, false);
            return;
        }
        sim.statistics.count(FaultKind.CALLER_RESENDS);
        int current = ++session;
        sim.after(50 + sim.random.nextInt(800), () -> {
            if (session == current) {
                send();
            }
        });
    }

    private boolean isOver(int ofSession) {
        return ending != null || session != ofSession;
    }

    private void end(String how, boolean served) {
        ending = how;
        isServed = served;
        endedMillis = sim.now;
        session++;
        sim.callerEnded(this);
    }
}
