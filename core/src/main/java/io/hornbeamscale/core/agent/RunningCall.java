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

/** A call that the backend server works on. */
final class RunningCall {
    private final GenerationId generation;
    private final AttemptId attempt;
    private final GrantId grant;
    private final NodeId entry;
    private final WorkItem work;
    private final Set<GenerationReader> readers = new LinkedHashSet<>();
    private long emitted;

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

    long emitted() {
        return emitted;
    }

    void answer(int status, Map<String, String> headers, Payload body, List<AgentAction> actions) {
        for (GenerationReader reader : readers) {
            actions.add(
                    new AgentAction.SendAnswer(reader.entry(), reader.attempt(), generation, status, headers, body));
        }
    }

    RunningWork forDrain() {
        return new RunningWork(attempt, emitted > 0, work.isRepeatable(), 0, emitted);
    }

    /** Notes tokens and returns how many of them are new. */
    int noteTokens(long offset, int count) {
        long end = offset + count;
        if (offset > emitted || end <= emitted) {
            return 0;
        }
        int fresh = (int) (end - emitted);
        emitted = end;
        return fresh;
    }
}
