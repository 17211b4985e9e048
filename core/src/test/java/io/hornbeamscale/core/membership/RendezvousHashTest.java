package io.hornbeamscale.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against owners that differ between nodes, are unevenly distributed, or change when another node is lost. */
class RendezvousHashTest {
    private static final int NODES = 20;
    private static final int KEYS = 4_000;

    @Test
    void doesNotDependOnTheOrderOfCandidates() {
        List<String> shuffled = new ArrayList<>(nodes());
        Collections.shuffle(shuffled, new Random(1));
        assertEquals(
                RendezvousHash.owners(nodes(), n -> n, "key", 3), RendezvousHash.owners(shuffled, n -> n, "key", 3));
    }

    @Test
    void movesOnlyTheKeysOfALostNodeAndSpreadsKeysEvenly() {
        List<String> fewer = new ArrayList<>(nodes());
        fewer.remove("node-7");
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < KEYS; i++) {
            String before = owner(nodes(), "key-" + i);
            counts.merge(before, 1, Integer::sum);
            if (!before.equals("node-7")) {
                assertEquals(before, owner(fewer, "key-" + i));
            }
        }
        // The standard deviation is 14, so the bounds are about four deviations away from the mean of 200.
        counts.values().forEach(count -> assertTrue(count > 140 && count < 260, counts.toString()));
    }

    @Test
    void acceptsFewerCandidatesThanOwners() {
        assertTrue(RendezvousHash.owner(List.<String>of(), n -> n, "key").isEmpty());
        assertEquals(List.of("a"), RendezvousHash.owners(List.of("a"), n -> n, "key", 2));
    }

    private static String owner(List<String> nodes, String key) {
        return RendezvousHash.owner(nodes, n -> n, key).orElseThrow();
    }

    private static List<String> nodes() {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add("node-" + i);
        }
        return nodes;
    }
}
