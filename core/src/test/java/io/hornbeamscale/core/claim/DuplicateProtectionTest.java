package io.hornbeamscale.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a call that must not be repeated but is treated as repeatable. */
class DuplicateProtectionTest {
    @ParameterizedTest
    @CsvSource({
        // kind, deduplicates, method, path, key, expected
        "PLAIN, false, POST, /bookings/7, k, CLAIM",
        "PLAIN, false, post, /bookings, k, CLAIM",
        "PLAIN, false, POST, /bookings, , ONCE",
        "PLAIN, false, POST, /bookings, ' ', ONCE",
        "PLAIN, true, POST, /bookings, k, PASS_KEY",
        "PLAIN, true, POST, /bookings, , ONCE",
        "PLAIN, false, GET, /bookings, k, REPEATABLE",
        "PLAIN, false, POST, /availability, k, REPEATABLE",
        "MODEL, false, POST, /bookings, k, REPEATABLE",
    })
    void followsTheServiceSpec(
            ServiceKind kind,
            boolean deduplicates,
            String method,
            String path,
            String key,
            DuplicateProtection expected) {
        ServiceSpec service = new ServiceSpec("s", kind, List.of(), List.of("POST /bookings"), deduplicates);
        assertEquals(expected, DuplicateProtection.of(service, method, path, key));
    }
}
