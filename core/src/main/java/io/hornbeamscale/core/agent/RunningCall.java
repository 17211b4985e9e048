package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A call in progress on the backend server. */
final class RunningCall {
    private final GenerationId generation;
    private final AttemptId attempt;
    private final GrantId grant;
    private final NodeId entry;
    private final WorkItem work;
    private final Set<GenerationReader> readers = new LinkedHashSet<>();
    private long emittedTokens;

    RunningCall(
            GenerationId generation,
            AttemptId attempt,
            GrantId grant,
            NodeId entry,
            WorkItem work,
            GenerationReader reader) {
        this.generation = generation;
        this.attempt = attempt;
        this.grant = grant;
        this.entry = entry;
        this.work = work;
        readers.add(reader);
    }

    GenerationId generation() {
        return generation;
    }

    AttemptId attempt() {
        return attempt;
    }

    GrantId grant() {
        return grant;
    }

    NodeId entry() {
        return entry;
    }

    WorkItem work() {
        return work;
    }

    Set<GenerationReader> readers() {
        return readers;
    }

    long emittedTokens() {
        return emittedTokens;
    }

    void addAnswers(int status, Map<String, String> headers, Payload body, List<AgentAction> actions) {
        for (GenerationReader reader : readers) {
            actions.add(
                    new AgentAction.SendAnswer(reader.entry(), reader.attempt(), generation, status, headers, body));
        }
    }

    RunningWork toRunningWork() {
        return new RunningWork(attempt, emittedTokens > 0, work.isRepeatable(), 0, emittedTokens);
    }

    /** Records tokens and returns how many of them are new; 0 if they leave a gap. */
    int recordTokens(long offset, int count) {
        long end = offset + count;
        if (offset > emittedTokens || end <= emittedTokens) {
            return 0;
        }
        int newTokens = (int) (end - emittedTokens);
        emittedTokens = end;
        return newTokens;
    }
}
