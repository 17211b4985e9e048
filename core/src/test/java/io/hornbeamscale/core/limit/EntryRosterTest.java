package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against entries that each take the whole of a shared rate because the registrations of the others expired. */
class EntryRosterTest {
    private final EntryRoster roster = new EntryRoster();

    @Nested
    class Entries {
        @Test
        void countWhileTheyAreRegistered() {
            assertEquals(Set.of("a", "b"), roster.update(Set.of("a", "b"), 0));
            long later = 10 * EntryRoster.RETENTION_MILLIS;
            assertEquals(Set.of("a", "b", "c"), roster.update(Set.of("a", "b", "c"), 10));
            assertEquals(Set.of("a"), roster.update(Set.of("a"), later));
        }

        @Test
        void countForSomeTimeAfterTheirRemoval() {
            roster.update(Set.of("a"), 0);
            assertEquals(Set.of("a"), roster.update(Set.of(), EntryRoster.RETENTION_MILLIS));
            assertEquals(Set.of(), roster.update(Set.of(), EntryRoster.RETENTION_MILLIS + 1));
        }

        @Test
        void thatComeBackCountFromThen() {
            roster.update(Set.of("a"), 0);
            roster.update(Set.of("a"), EntryRoster.RETENTION_MILLIS);
            assertEquals(Set.of("a"), roster.update(Set.of(), 2 * EntryRoster.RETENTION_MILLIS));
        }

        @Test
        void thatAreReturnedDoNotChangeLater() {
            Set<String> before = roster.update(Set.of("a"), 0);
            roster.update(Set.of("b"), 1);
            assertEquals(Set.of("a"), before);
        }
    }
}
