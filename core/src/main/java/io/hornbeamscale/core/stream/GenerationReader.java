package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;

/**
 * An entry that receives the output of a generation.
 *
 * @param entry the entry, not null
 * @param attempt the attempt named in the frames to this entry, not null
 */
public record GenerationReader(NodeId entry, AttemptId attempt) {
    /** Checks the parts. */
    public GenerationReader {
        Arguments.notNull(entry, "entry");
        Arguments.notNull(attempt, "attempt");
    }
}
