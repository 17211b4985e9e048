package io.hornbeamscale.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against slow servers that keep receiving work, and against ejecting too many servers. */
class StragglerDetectorTest {
    private final StragglerDetector detector = new StragglerDetector();
    private final List<BackendState> servers = new ArrayList<>();
    private long now;

    private void run(int slow, double slowGap, long millis) {
        for (long end = now + millis; now < end; now += 100) {
            for (int i = 0; i < servers.size(); i++) {
                double gap = i < slow ? slowGap : 25 + i % 3;
                BackendState b = servers.get(i);
                b.update(new BackendStatus(b.backend, 1, 1_000, 0, 10, 0, 0, gap, false, Set.of()), now);
            }
            detector.check(servers, now);
        }
    }

    private void create(int count) {
        for (int i = 0; i < count; i++) {
            servers.add(new BackendState(new BackendId("b" + i)));
        }
    }

    private long ejected() {
        return servers.stream()
                .filter(b -> b.speed == BackendState.Speed.EJECTED)
                .count();
    }

    /** The number of servers and of slow ones, the gap of the slow ones in ms, and the number ejected within 300 ms. */
    @ParameterizedTest
    @CsvSource({"8,2,130,2", "8,1,130,1", "8,4,130,2", "8,5,130,0", "8,3,130,2", "8,2,40,0", "2,1,130,0"})
    void slowServersAreEjectedUpToTheCap(int count, int slow, double gap, int expected) {
        create(count);
        run(0, 0, 300);
        run(slow, gap, 300);
        assertEquals(expected, ejected());
    }

    /** Guards against recovered servers that stay ejected, or that receive their full share at once. */
    @Test
    void recoveredServerPassesProbation() {
        create(8);
        run(1, 130, 500);
        run(0, 0, 3_000);
        assertEquals(BackendState.Speed.PROBATION, servers.get(0).speed);
        run(0, 0, 6_000);
        assertEquals(BackendState.Speed.NORMAL, servers.get(0).speed);
    }
}
