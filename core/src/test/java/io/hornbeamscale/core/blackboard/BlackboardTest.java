package io.hornbeamscale.core.blackboard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against controllers that miss a change because the revision was not increased. */
class BlackboardTest {
    private static final BlackboardKey<String> KEY = new BlackboardKey<>("name", String.class);

    @Test
    void revisionIncreasesWithEveryWrite() {
        Blackboard board = new Blackboard();
        assertTrue(board.get(KEY).isEmpty());
        assertEquals(0, board.revision(KEY));
        board.put(KEY, "a");
        board.put(KEY, "a");
        assertEquals(Optional.of("a"), board.get(KEY));
        assertEquals(2, board.revision(KEY));
    }
}
