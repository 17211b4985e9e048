package io.hornbeamscale.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid arguments that are accepted or end with a stack trace. */
class MeasureCommandTest {
    @ParameterizedTest
    @CsvSource({
        "--scenario nope,2,scenario must be one of",
        "--policy nope,2,policy must be one of",
        "--seed x,2,--seed",
        "--help,0,--scenario"
    })
    void argumentsAreChecked(String args, int status, String expected) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        assertEquals(status, MeasureCommand.run(args.split(" "), out));
        assertTrue(bytes.toString(StandardCharsets.UTF_8).contains(expected), bytes.toString(StandardCharsets.UTF_8));
    }
}
