package io.hornbeamscale.core.distribute;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against nodes that apply an older version after a restart, and against sending whole documents where a digest
 * or a difference suffices.
 */
class ConfigDistributorTest {
    private static final RegionId STORE_REGION = new RegionId("amman");
    private static final RegionId OTHER_REGION = new RegionId("wadi-musa");
    private static final NodeId PEER = new NodeId("peer");
    private static final NodeId OTHER = new NodeId("other");
    private static final NodeId REMOTE = new NodeId("remote");
    private static final long LATER_MILLIS = 10_000;

    private final ConfigDistributor node = distributor(STORE_REGION);

    /** The events that a starting node receives, and the version in force ten seconds later; 0 means that it waits. */
    static Stream<Arguments> starts() {
        return Stream.of(
                start("store confirms the read value and a peer has a copy", 4, "check 4", "value 4", "peer 4"),
                start("no peer has a copy of the store's value", 0, "check 4", "value 4"),
                start("store reads an older value", 0, "check 5", "value 4", "peer 4"),
                start("older value, then the present one", 5, "check 5", "value 4", "value 5", "peer 5"),
                start("value without a confirmed revision", 0, "value 4"),
                start("store is down and no peer replies", 0, "down"),
                start("store is down and the peers hold a version", 4, "peer 4", "whole 4", "down"),
                start("a peer holds more than was received", 0, "peer 5", "whole 4", "down"),
                start("a peer brings what the store confirms", 5, "peer 5", "check 5", "whole 5"),
                start("a peer holds less than the store confirms", 0, "check 5", "whole 4"),
                start("a peer that is itself starting does not count", 0, "starting 4", "whole 4", "down"));
    }

    private static Arguments start(String name, long version, String... events) {
        return Arguments.of(name, List.of(events), version);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("starts")
    void startingNodeAppliesNoPossiblyOlderVersion(String name, List<String> events, long version) {
        node.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION)));
        node.tick(0);
        for (String event : events) {
            apply(event, 100);
        }
        for (long now = 200; now <= LATER_MILLIS; now += 100) {
            node.tick(now);
        }
        assertEquals(version, node.versionInForce(), name);
    }

    @Nested
    final class Started {
        private Started() {
            node.updatePeers(List.of());
            node.storeRevisionRead(1, 0);
            node.storeValueRead(snapshot(1), 0);
        }

        @Test
        void appliesAStoreVersionOnlyOnceTwoReplicasHoldIt() {
            node.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION), new ConfigPeer(OTHER, STORE_REGION)));
            List<DistributionAction> actions = node.storeValueRead(snapshot(2), 10);
            assertTrue(isSent(actions, PEER, ConfigMessage.Digest.class));
            node.received(PEER, digest(2, false), 20);
            node.received(PEER, digest(2, false), 30);
            node.tick(LATER_MILLIS);
            assertEquals(1, node.versionInForce());
            node.received(OTHER, digest(2, false), LATER_MILLIS);
            assertEquals(2, node.versionInForce());
        }

        @Test
        void appliesAVersionOnceAPeerOfTheRegionReportsItAsReplicated() {
            node.updatePeers(List.of(
                    new ConfigPeer(PEER, STORE_REGION),
                    new ConfigPeer(OTHER, STORE_REGION),
                    new ConfigPeer(REMOTE, OTHER_REGION)));
            node.storeValueRead(snapshot(2), 10);
            node.received(REMOTE, digest(2, true), 20);
            assertEquals(1, node.versionInForce());
            node.received(PEER, digest(2, true), 30);
            assertEquals(2, node.versionInForce());
        }

        @Test
        void appliesAStoreVersionAtOnceWithoutPeers() {
            node.storeValueRead(snapshot(2), 10);
            assertEquals(2, node.versionInForce());
        }

        @Test
        void requestsTheDifferenceFromOnePeerAtATime() {
            node.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION), new ConfigPeer(OTHER, STORE_REGION)));
            ConfigMessage digest = digest(2, true);
            assertTrue(isSent(node.received(PEER, digest, 10), PEER, ConfigMessage.Want.class));
            assertFalse(isSent(node.received(OTHER, digest, 11), OTHER, ConfigMessage.Want.class));
            ConfigMessage delta = new ConfigMessage.Delta(ConfigSnapshotDelta.between(snapshot(1), snapshot(2)), true);
            node.received(PEER, delta, 20);
            assertEquals(2, node.versionInForce());
        }

        @Test
        void repeatsARequestWithoutReply() {
            node.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION)));
            node.received(PEER, digest(2, true), 10);
            assertFalse(isSent(node.tick(900), PEER, ConfigMessage.Want.class));
            assertTrue(isSent(node.tick(1_100), PEER, ConfigMessage.Want.class));
        }

        @Test
        void requestsTheWholeDocumentIfADifferenceCannotBeApplied() {
            node.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION)));
            ConfigSnapshot differentSnapshot =
                    new ConfigSnapshot(1, 1, snapshot(2).entities());
            ConfigMessage delta =
                    new ConfigMessage.Delta(ConfigSnapshotDelta.between(differentSnapshot, snapshot(2)), true);
            List<DistributionAction> actions = node.received(PEER, delta, 10);
            assertTrue(actions.contains(new DistributionAction.Send(PEER, new ConfigMessage.Want(0))));
            assertEquals(1, node.versionInForce());
        }

        @Test
        void ignoresLowerVersionsFromPeersAndStore() {
            node.received(PEER, new ConfigMessage.Whole(snapshot(5), true), 10);
            node.received(PEER, new ConfigMessage.Whole(snapshot(3), true), 20);
            node.storeValueRead(snapshot(4), 30);
            node.tick(LATER_MILLIS);
            assertEquals(5, node.versionInForce());
        }

        @Test
        void limitsTheRateOfWholeDocuments() {
            int sent = 0;
            for (int i = 0; i < 100; i++) {
                sent += count(node.received(new NodeId("n" + i), new ConfigMessage.Want(0), 10));
            }
            assertEquals(2, sent);
        }

        private int count(List<DistributionAction> actions) {
            return (int) actions.stream()
                    .filter(a ->
                            a instanceof DistributionAction.Send send && send.message() instanceof ConfigMessage.Whole)
                    .count();
        }
    }

    @Nested
    final class Link {
        private final ConfigDistributor remote = distributor(OTHER_REGION);

        private Link() {
            remote.updatePeers(List.of(new ConfigPeer(PEER, STORE_REGION)));
            remote.storeRevisionRead(1, 0);
            remote.storeValueRead(snapshot(1), 0);
        }

        @Test
        void watchesTheStoreOnlyWithoutMessagesFromAnotherRegion() {
            for (long now = 1_000; now < 30_000; now += 1_000) {
                remote.received(PEER, digest(1, true), now);
                assertFalse(isWatching(remote.tick(now)), "at " + now);
            }
            assertTrue(isWatching(remote.tick(40_000)));
        }

        private boolean isWatching(List<DistributionAction> actions) {
            return actions.stream().anyMatch(a -> a instanceof DistributionAction.WatchStore);
        }
    }

    @Test
    void storeOutageIsFollowedByIncreasingDelays() {
        node.updatePeers(List.of());
        node.storeRevisionRead(0, 0);
        List<Long> calls = new ArrayList<>();
        for (long now = 0; now < 60_000; now += 50) {
            boolean isCalled = node.tick(now).stream().anyMatch(a -> a instanceof DistributionAction.WatchStore);
            if (isCalled) {
                calls.add(now);
                node.storeFailed(now);
            }
        }
        // Delays double up to 5 s, with jitter of up to a half, so there are at most 30 calls in a minute.
        assertTrue(calls.size() >= 10 && calls.size() <= 30, calls.toString());
    }

    private void apply(String event, long nowMillis) {
        String kind = event.replaceAll(" .*", "");
        long version = kind.equals("down") ? 0 : Long.parseLong(event.substring(kind.length() + 1));
        switch (kind) {
            case "check" -> node.storeRevisionRead(version, nowMillis);
            case "value" -> node.storeValueRead(snapshot(version), nowMillis);
            case "peer" -> node.received(PEER, digest(version, true), nowMillis);
            case "starting" ->
                node.received(PEER, new ConfigMessage.Digest(version, version, false, false, false), nowMillis);
            case "whole" -> node.received(PEER, new ConfigMessage.Whole(snapshot(version), true), nowMillis);
            default -> node.storeFailed(nowMillis);
        }
    }

    private static boolean isSent(List<DistributionAction> actions, NodeId peer, Class<?> type) {
        return actions.stream()
                .anyMatch(a -> a instanceof DistributionAction.Send send
                        && send.peer().equals(peer)
                        && type.isInstance(send.message()));
    }

    private static ConfigDistributor distributor(RegionId region) {
        return new ConfigDistributor(new ConfigPeer(new NodeId("self"), region), STORE_REGION, new Random(1), 0);
    }

    private static ConfigMessage digest(long version, boolean isReplicated) {
        return new ConfigMessage.Digest(version, version, isReplicated, true, false);
    }

    private static ConfigSnapshot snapshot(long version) {
        return new ConfigSnapshot(version, version, Map.of("a", "text " + version, "b", "same"));
    }
}
