package io.hornbeamscale.core.distribute;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.NodeId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against an agent that applies an older version, or that keeps waiting for an entry that does not reply. */
class VersionFollowerTest {
    private static final NodeId FIRST = new NodeId("e0");
    private static final NodeId SECOND = new NodeId("e1");

    private final VersionFollower follower = new VersionFollower();

    @Test
    void startingAgentIgnoresAnEntryWithAnOlderVersion() {
        follower.received(FIRST, whole(4, true), 0);
        follower.received(SECOND, digest(5), 100);
        follower.tick(VersionFollower.START_WAIT_MILLIS);
        assertEquals(0, follower.versionInForce());
        follower.received(SECOND, whole(5, true), VersionFollower.START_WAIT_MILLIS);
        assertEquals(5, follower.versionInForce());
        follower.received(FIRST, whole(4, true), 3_000);
        assertEquals(5, follower.versionInForce());
    }

    @Test
    void versionThatIsNotReplicatedIsIgnored() {
        follower.received(FIRST, whole(1, false), 0);
        follower.tick(VersionFollower.START_WAIT_MILLIS);
        assertEquals(0, follower.versionInForce());
    }

    @Test
    void anotherEntryIsAskedIfOneDoesNotReply() {
        follower.received(FIRST, digest(2), 0);
        List<DistributionAction> actions = follower.received(SECOND, digest(2), 1_000);
        assertTrue(
                actions.contains(new DistributionAction.Send(SECOND, new ConfigMessage.Want(0))), actions.toString());
    }

    private static ConfigMessage digest(long version) {
        return new ConfigMessage.Digest(version, version, true, true, false);
    }

    private static ConfigMessage whole(long version, boolean isReplicated) {
        return new ConfigMessage.Whole(new ConfigSnapshot(version, version, Map.of("a", "b")), isReplicated);
    }
}
