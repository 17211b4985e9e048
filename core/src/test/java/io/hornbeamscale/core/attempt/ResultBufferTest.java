package io.hornbeamscale.core.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against results that are dropped before their retention time and against unbounded memory. */
class ResultBufferTest {
    private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 1);
    private final ResultBuffer<String> buffer = new ResultBuffer<>(1_000, 100);

    @Test
    void keepsAResultForTheRetentionTime() {
        buffer.put(ATTEMPT, new GrantId(1, 1), "a", 10, 0);
        buffer.tick(999);
        assertEquals(Optional.of("a"), buffer.find(ATTEMPT, new GrantId(1, 1)));
        assertEquals(Optional.empty(), buffer.find(ATTEMPT, new GrantId(2, 1)));
        buffer.tick(1_000);
        assertEquals(Optional.empty(), buffer.find(ATTEMPT, new GrantId(1, 1)));
    }

    @Test
    void dropsTheOldestResultWhenFull() {
        buffer.put(ATTEMPT, new GrantId(1, 1), "a", 60, 0);
        buffer.put(ATTEMPT, new GrantId(1, 2), "b", 60, 1);
        assertEquals(Optional.empty(), buffer.find(ATTEMPT, new GrantId(1, 1)));
        assertEquals(Optional.of("b"), buffer.find(ATTEMPT, new GrantId(1, 2)));
    }
}
