package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against load that is counted after its requests have ended. */
class LoadTrackerTest {
    private static final ServerLoad LOAD = new ServerLoad(1, 30, 20);

    private final LoadTracker loads = new LoadTracker();

    @Nested
    class Own {
        @Test
        void isTheSumOfWhatWasAdded() {
            loads.add("a", LOAD);
            loads.add("a", LOAD);
            assertEquals(new ServerLoad(2, 60, 40), loads.of("a", 0));
            loads.remove("a", LOAD);
            assertEquals(LOAD, loads.of("a", 0));
        }

        @Test
        void isEmptyAgainAtTheEnd() {
            loads.add("a", LOAD);
            loads.remove("a", new ServerLoad(0, 0, 20));
            loads.remove("a", new ServerLoad(1, 30, 0));
            assertTrue(loads.own().isEmpty());
        }
    }

    @Nested
    class Progress {
        @Test
        void replacesTheLoadOfOneRequest() {
            ServerLoad later = new ServerLoad(1, 30, 0, 25);
            loads.add("a", LOAD);
            loads.add("a", LOAD);
            loads.replace("a", LOAD, later);
            assertEquals(LOAD.plus(later), loads.of("a", 0));
        }

        @Test
        void doesNotRestoreALoadThatWasRemoved() {
            loads.replace("a", LOAD, new ServerLoad(1, 30, 0, 25));
            assertEquals(ServerLoad.NONE, loads.of("a", 0));
        }
    }

    @Nested
    class Peers {
        @Test
        void replaceTheirPreviousReport() {
            loads.peerReported("p", Map.of("a", LOAD, "b", LOAD), 0);
            loads.peerReported("p", Map.of("b", LOAD), 10);
            loads.peerReported("q", Map.of("b", LOAD), 10);
            assertEquals(ServerLoad.NONE, loads.of("a", 10));
            assertEquals(new ServerLoad(2, 60, 40), loads.of("b", 10));
        }

        /** Each report of an entry tried all waiting streams, though a report of more load makes no room. */
        @Test
        void tellWhetherRoomMayHaveBecomeFree() {
            assertFalse(loads.peerReported("p", Map.of("a", LOAD), 0));
            assertFalse(loads.peerReported("p", Map.of("a", LOAD), 10));
            assertFalse(loads.peerReported("p", Map.of("a", LOAD.plus(LOAD), "b", LOAD), 20));
            assertTrue(loads.peerReported("p", Map.of("a", LOAD.plus(LOAD)), 30));
            assertTrue(loads.peerReported("p", Map.of("a", new ServerLoad(3, 60, 40, 59)), 40));
        }

        @Test
        void expireWithoutANewReport() {
            loads.peerReported("p", Map.of("a", LOAD), 0);
            assertEquals(LOAD, loads.of("a", LoadTracker.PEER_LOAD_TTL_MILLIS));
            assertEquals(ServerLoad.NONE, loads.of("a", LoadTracker.PEER_LOAD_TTL_MILLIS + 1));
        }
    }
}
