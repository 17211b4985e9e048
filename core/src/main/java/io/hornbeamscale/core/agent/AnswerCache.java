package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.attempt.LedgerAction;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.work.Payload;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the latest answers to calls that must not be repeated. If an entry fails before it has recorded a result, a
 * repeated call at another entry obtains the answer from this cache. The oldest answers are dropped first.
 */
final class AnswerCache {
    private static final int MAX_ANSWERS = 1_000;
    private static final long MAX_BYTES = 8L << 20;
    private static final CachedAnswer NONE = new CachedAnswer(0, "", Payload.EMPTY);

    private final Map<AttemptId, CachedAnswer> answers = new LinkedHashMap<>();
    private long bytes;

    void add(AttemptId attempt, int status, String contentType, Payload body) {
        answers.put(attempt, new CachedAnswer(status, contentType, body));
        bytes += body.size();
        Iterator<CachedAnswer> oldestFirst = answers.values().iterator();
        while (oldestFirst.hasNext() && (answers.size() > MAX_ANSWERS || bytes > MAX_BYTES)) {
            bytes -= oldestFirst.next().body().size();
            oldestFirst.remove();
        }
    }

    /** Returns the answer to a revocation, with the answer to the call if it is still cached. */
    AgentAction revokeAnswer(NodeId entry, LedgerAction.AnswerRevoke answer) {
        CachedAnswer cached = answers.getOrDefault(answer.attempt(), NONE);
        return new AgentAction.SendRevoked(
                entry,
                answer.attempt(),
                answer.grant(),
                answer.isNeverStarted(),
                answer.state().name(),
                cached.status(),
                cached.contentType(),
                cached.body());
    }

    private record CachedAnswer(int status, String contentType, Payload body) {}
}
