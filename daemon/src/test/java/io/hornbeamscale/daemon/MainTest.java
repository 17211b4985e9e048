package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a help text that does not list the commands, and against exit status 0 after invalid arguments. */
class MainTest {
    @Nested
    class Help {
        @Test
        void listsTheCommands() {
            assertEquals(0, Main.run("--help"));
            Approvals.verify(Main.USAGE, new Options(new QuietReporter()));
        }
    }

    @Nested
    class WrongArguments {
        @Test
        void endWithTheStatusOfBadUsage() {
            assertEquals(Main.BAD_USAGE, Main.run("unknown"));
            assertEquals(Main.BAD_USAGE, Main.run("entry"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "101", "NaN", "two"})
        void areRefusedIfAPercentageIsNone(String percent) {
            assertEquals(Main.BAD_USAGE, Main.run("gateway", "--hedge-percent", percent));
        }
    }
}
