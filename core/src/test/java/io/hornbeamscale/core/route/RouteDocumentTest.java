package io.hornbeamscale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that are assigned to a wrong service or customer. */
class RouteDocumentTest {
    private static final CallerLimits LIMITS = new CallerLimits(100, 100, 100, 100);

    private static Route route(String name, String host, String prefix, Route.Target... targets) {
        return new Route(name, host, prefix, RequestKind.IDEMPOTENT, List.of(targets), 1, 1, 0, 0, 1, false);
    }

    private static RouteDocument document(Route... routes) {
        return new RouteDocument(1, List.of(routes), List.of(), LIMITS, Map.of("key", new Customer("acme", 1)), true);
    }

    private static Route.Target to(String service, long weight) {
        return new Route.Target(service, weight);
    }

    @Nested
    class Match {
        private final RouteDocument rules = document(
                route("short", "a.example", "/x/", to("s", 1)),
                route("long", "a.example", "/x/y/", to("s", 1)),
                route("other", "b.example", "/x/", to("s", 1)));

        private String name(String host, String path) {
            return rules.route(host, path).map(Route::name).orElse("");
        }

        @Test
        void prefersTheLongestPrefix() {
            assertEquals("long", name("a.example", "/x/y/1"));
            assertEquals("short", name("a.example", "/x/yz"));
        }

        @Test
        void keepsHostsApart() {
            assertEquals("other", name("b.example", "/x/y/1"));
            assertEquals("", name("c.example", "/x/"));
        }

        @Test
        void ignoresPortAndCaseOfTheHost() {
            assertEquals("short", name("A.Example:8080", "/x/"));
        }

        @Test
        void needsTheWholePrefix() {
            assertEquals("", name("a.example", "/x"));
            assertEquals("", name(null, "/x/"));
        }
    }

    @Nested
    class Split {
        @Test
        void followsTheWeights() {
            Route route = route("r", "a", "/", to("s", 90), to("t", 10));
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 1_000; i++) {
                counts.merge(route.selectService(i), 1, Integer::sum);
            }
            assertEquals(Map.of("s", 900, "t", 100), counts);
        }

        @Test
        void isTheSameForEqualHashes() {
            Route route = route("r", "a", "/", to("s", 1), to("t", 1));
            assertEquals(route.selectService(-7), route.selectService(-7));
        }

        @Test
        void withoutWeightsTakesTheFirst() {
            assertEquals("s", route("r", "a", "/", to("s", 0), to("t", 0)).selectService(5));
        }

        @Test
        void needsATarget() {
            assertThrows(IllegalArgumentException.class, () -> route("r", "a", "/"));
        }
    }

    @Nested
    class Customers {
        @Test
        void areFoundByTheirKeys() {
            assertEquals(Optional.of("acme"), document().customer("key").map(Customer::name));
            assertTrue(document().customer("KEY").isEmpty());
            assertTrue(document().customer(null).isEmpty());
        }
    }
}
