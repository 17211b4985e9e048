package io.hornbeamscale.core.id;

/**
 * Identifies a single-use permission to start an attempt. It is void once the agent has another incarnation.
 *
 * @param incarnation the incarnation of the agent that issued the grant
 * @param sequence a number that the agent never issues twice within its incarnation
 */
public record GrantId(long incarnation, long sequence) {
    @Override
    public String toString() {
        return incarnation + "/" + sequence;
    }
}
