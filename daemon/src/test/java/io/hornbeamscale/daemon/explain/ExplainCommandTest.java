package io.hornbeamscale.daemon.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against explanations that omit, reorder or invent steps of a request. */
class ExplainCommandTest {
    private static final String SENT = line(1_000, "\"event\":\"sent\",\"request\":\"r1\",\"server\":\"s1\"");
    private static final String ENDED =
            line(1_900, "\"event\":\"ended\",\"request\":\"r1\",\"status\":504,\"why\":\"too late\"");

    @TempDir
    Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String line(long time, String fields) {
        return "{\"time\":" + time + ",\"part\":\"request\",\"message\":{" + fields + "}}\n";
    }

    private static String server(long time, String id, int revision, String state) {
        return line(
                time,
                "\"event\":\"server\",\"server\":\"" + id + "\",\"revision\":" + revision + ",\"state\":\"" + state
                        + "\",\"source\":\"the store\"");
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private int explain(String... args) {
        return ExplainCommand.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class AFailedRequest {
        @Test
        void isShownInOrderWithItsDecidingLine() throws IOException {
            assertEquals(0, explain("r1", file("edge-1", ENDED + SENT)));
            assertTrue(output().indexOf("sent") < output().indexOf("ended"), output());
            assertTrue(output().contains("Decided by edge-1: status 504, too late"), output());
        }

        @Test
        void isShownWithTheStateThatTheProcessKnewThen() throws IOException {
            String log = line(100, "\"event\":\"document\",\"detail\":\"version 7 from the store\"")
                    + server(500, "s1", 3, "ready")
                    + SENT
                    + line(1_200, "\"event\":\"store_lost\",\"detail\":\"timeout\"")
                    + ENDED
                    + server(2_000, "s1", 4, "removed");
            assertEquals(0, explain("r1", file("edge-1", log)));
            assertTrue(output().contains("document: version 7 from the store, known for 1800 ms"), output());
            assertTrue(output().contains("store: lost, known for 700 ms"), output());
            assertTrue(output().contains("server s1: ready by the store, revision 3, known for 1400 ms"), output());
            assertFalse(output().contains("removed"), "a state learned after the decision is shown: " + output());
        }

        @Test
        void isShownAsJson() throws IOException {
            assertEquals(0, explain("--json", "r1", file("edge-1", SENT + ENDED)));
            assertTrue(output().contains("\"deciding\" : {"), output());
            assertTrue(output().contains("\"timeMillis\" : 1900"), output());
        }
    }

    @Nested
    class SeveralProcesses {
        /** Guards against lines of a process whose clock is 5 s ahead being ordered after the end of the request. */
        @Test
        void areOrderedWithClockOffsetsEstimatedFromStoreChanges() throws IOException {
            List<String> reference = new ArrayList<>();
            List<String> ahead = new ArrayList<>();
            for (int revision = 1; revision <= 5; revision++) {
                reference.add(server(revision * 100L, "s" + revision, revision, "ready"));
                ahead.add(server(revision * 100L + 5_000, "s" + revision, revision, "ready"));
            }
            ahead.add(line(6_500, "\"event\":\"crash_told\",\"request\":\"r1\""));
            String one = file("edge-1", String.join("", reference) + SENT + ENDED);
            assertEquals(0, explain("r1", one, file("edge-2", String.join("", ahead))));
            assertTrue(output().indexOf("crash_told") < output().indexOf("ended"), output());
            assertTrue(output().contains("edge-2 is off by 5000 ms"), output());
        }

        @Test
        void areDistinguishedInOneCollectedLog() throws IOException {
            assertEquals(0, explain("r1", file("all", " 0.5 edge-1 " + SENT + " 1.4 edge-1 " + ENDED)));
            assertTrue(output().contains("Decided by edge-1"), output());
        }
    }

    @Nested
    class WhatIsMissing {
        @Test
        void isReportedIfTheProcessWasKilled() throws IOException {
            String log = SENT + "{\"time\":1100,\"part\":\"requ\n" + line(3_000, "\"event\":\"start\"");
            assertEquals(0, explain("r1", file("edge-1", log)));
            assertTrue(output().contains("the process started again 2000 ms after"), output());
            assertTrue(err.toString(StandardCharsets.UTF_8).contains("1 lines are not lines"));
        }

        @Test
        void isReportedIfLinesWereLeftOut() throws IOException {
            String leftOut = line(2_500, "\"event\":\"lines_left_out\",\"kind\":\"sent\",\"lines\":12");
            String end = line(1_900, "\"event\":\"ended\",\"request\":\"r1\",\"status\":200,\"why\":\"server s1\"");
            assertEquals(0, explain("r1", file("edge-1", end + leftOut)));
            assertTrue(output().contains("the line of the send"), output());
            assertTrue(output().contains("of kind sent (12)"), output());
        }

        @Test
        void isTheWholeRequestForAnUnknownId() throws IOException {
            assertEquals(1, explain("r2", file("edge-1", SENT + ENDED)));
            assertTrue(output().contains("no line has the id"), output());
        }
    }

    @Nested
    class WrongArguments {
        @Test
        void areRefused() throws IOException {
            assertEquals(2, explain("r1"));
            assertEquals(2, explain("r1", folder.resolve("none").toString()));
            assertEquals(2, explain("--none", "r1", file("edge-1", SENT)));
        }
    }
}
