package io.hornbeamscale.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against host names, which would need a blocking lookup, and against invalid addresses and ports. */
class EndpointTest {
    @Nested
    class Parse {
        @Test
        void readsIpAndPort() {
            assertEquals(Optional.of(new Endpoint("10.1.0.19", 8740)), Endpoint.parse("10.1.0.19:8740"));
            assertEquals("10.1.0.19:8740", new Endpoint("10.1.0.19", 8740).toString());
        }

        @ParameterizedTest
        @NullSource
        @ValueSource(
                strings = {"", "host:80", "10.1.0.19", "10.1.0.19:0", "10.1.0.19:70000", "10.1.0.256:80", "[::1]:80"})
        void refusesOtherForms(String text) {
            assertEquals(Optional.empty(), Endpoint.parse(text));
        }
    }
}
