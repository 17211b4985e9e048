package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.attempt.LedgerAction;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.work.Payload;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the latest answers to calls that must not be repeated. If the entry fails before it has recorded the result, a
 * resend at another entry obtains the answer from here.
 */
final class AnswerCache {
    private static final int MAX_ANSWERS = 1_000;
    private static final long MAX_BYTES = 8L << 20;
    private static final Kept NONE = new Kept(0, "", Payload.EMPTY);

    private final Map<AttemptId, Kept> answers = new LinkedHashMap<>();
    private long bytes;

    void add(AttemptId attempt, int status, String contentType, Payload body) {
        answers.put(attempt, new Kept(status, contentType, body));
        bytes += body.size();
        Iterator<Kept> oldestFirst = answers.values().iterator();
        while (oldestFirst.hasNext() && (answers.size() > MAX_ANSWERS || bytes > MAX_BYTES)) {
            bytes -= oldestFirst.next().body().size();
            oldestFirst.remove();
        }
    }

    /** Completes the answer to a revocation with the answer to the call, if it is still held. */
    AgentAction revoked(NodeId entry, LedgerAction.AnswerRevoke answer) {
        Kept kept = answers.getOrDefault(answer.attempt(), NONE);
        return new AgentAction.SendRevoked(
                entry,
                answer.attempt(),
                answer.grant(),
                answer.isNeverStarted(),
                answer.state().name(),
                kept.status(),
                kept.contentType(),
                kept.body());
    }

    private record Kept(int status, String contentType, Payload body) {}
}
