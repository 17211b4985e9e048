package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.blackboard.BlackboardKey;
import io.hornbeamscale.core.membership.Member;
import java.util.List;

/**
 * The members that may receive new work.
 *
 * @param entries the live entries, without the own node unless it is listed
 * @param agents the live agents
 */
public record MembershipSnapshot(List<Member> entries, List<Member> agents) {
    /** The key of the snapshot on the blackboard. */
    public static final BlackboardKey<MembershipSnapshot> KEY =
            new BlackboardKey<>("membership", MembershipSnapshot.class);

    /** Copies the lists. */
    public MembershipSnapshot {
        entries = List.copyOf(entries);
        agents = List.copyOf(agents);
    }
}
