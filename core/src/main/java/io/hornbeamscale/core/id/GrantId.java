package io.hornbeamscale.core.id;

/**
 * Identifies a single-use permission to start an attempt. It becomes invalid when the agent restarts with another
 * incarnation.
 *
 * @param incarnation the incarnation of the agent that issued the grant
 * @param sequence a number that is unique within the incarnation
 */
public record GrantId(long incarnation, long sequence) {
    @Override
    public String toString() {
        return incarnation + "/" + sequence;
    }
}
