package io.hornbeamscale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that are served in a region that their route or their customer does not allow. */
class AllowedRegionsTest {
    private final AllowedRegions one = AllowedRegions.of(List.of("r1"));
    private final AllowedRegions two = AllowedRegions.of(List.of("r1", "r2"));
    private final AllowedRegions other = AllowedRegions.of(List.of("r3"));

    @Nested
    class Names {
        @Test
        void thatIsEmptyAllowsEveryRegion() {
            AllowedRegions any = AllowedRegions.of(List.of());
            assertEquals(AllowedRegions.ANY, any);
            assertTrue(any.allows("r1"));
            assertTrue(any.allows(null));
            assertFalse(any.isRestricted());
        }

        @Test
        void thatNamesRegionsAllowsOnlyThem() {
            assertTrue(one.allows("r1"));
            assertFalse(one.allows("r2"));
            assertFalse(one.allows(null));
            assertTrue(one.isRestricted());
        }
    }

    @Nested
    class Intersection {
        @Test
        void withAnUnrestrictedListIsTheOtherList() {
            assertEquals(one, one.and(AllowedRegions.ANY));
            assertEquals(one, AllowedRegions.ANY.and(one));
            assertEquals(AllowedRegions.ANY, AllowedRegions.ANY.and(AllowedRegions.ANY));
        }

        @Test
        void ofTwoListsAllowsWhatBothAllow() {
            assertEquals(one, one.and(two));
            assertEquals(one, two.and(one));
        }

        /** An empty intersection must not be mistaken for an empty list, which restricts nothing. */
        @Test
        void ofDisjointListsAllowsNoRegion() {
            assertEquals(AllowedRegions.NONE, two.and(other));
            assertFalse(two.and(other).allows("r1"));
            assertFalse(two.and(other).allows("r3"));
            assertFalse(two.and(other).and(AllowedRegions.ANY).allows("r1"));
        }
    }
}
