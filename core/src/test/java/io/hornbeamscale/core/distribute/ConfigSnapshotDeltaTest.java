package io.hornbeamscale.core.distribute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a difference whose result is another document than the published one. */
class ConfigSnapshotDeltaTest {
    private static final ConfigSnapshot OLD = new ConfigSnapshot(3, 3, Map.of("a", "1", "b", "2", "c", "3"));
    private static final ConfigSnapshot NEW = new ConfigSnapshot(5, 6, Map.of("a", "1", "b", "9", "d", "4"));

    @Test
    void containsOnlyChangesAndResultsInTheNewSnapshot() {
        ConfigSnapshotDelta delta = ConfigSnapshotDelta.between(OLD, NEW);
        assertEquals(Map.of("b", "9", "d", "4"), delta.changed());
        assertEquals(Set.of("c"), delta.removed());
        assertEquals(Optional.of(NEW), delta.applyTo(OLD));
    }

    @Test
    void isNotAppliedToAnotherSnapshot() {
        ConfigSnapshotDelta delta = ConfigSnapshotDelta.between(OLD, NEW);
        assertEquals(Optional.empty(), delta.applyTo(new ConfigSnapshot(4, 4, OLD.entities())));
        assertEquals(Optional.empty(), delta.applyTo(new ConfigSnapshot(3, 3, Map.of("a", "other"))));
    }
}
