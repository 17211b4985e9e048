package io.hornbeamscale.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.console.PasswordHash;
import io.hornbeamscale.standin.StandInFault;
import io.hornbeamscale.standin.StoreStandIn;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against wrong exit statuses, on which scripts rely, and against output that does not match what happened. */
class ConfigCommandTest {
    @TempDir
    private Path directory;

    private final StoreStandIn store = StoreStandIn.builder().build();
    private String address;
    private String printed;

    @BeforeEach
    void start() {
        address = "127.0.0.1:" + store.start().getPort();
    }

    @AfterEach
    void stop() {
        store.close();
    }

    private int run(String line) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        List<String> args = new ArrayList<>();
        for (String word : line.trim().split(" +", -1)) {
            args.add(word.replace("STORE", address).replace("TOURS", "../examples/tours.yaml"));
        }
        int status = ConfigCommand.run(args.toArray(new String[0]), stream, stream);
        printed = bytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private String editedTours(String from, String to) throws IOException {
        String text = Files.readString(Path.of("../examples/tours.yaml")).replace(from, to);
        return Files.writeString(directory.resolve("edited.yaml"), text).toString();
    }

    @Nested
    class ExitStatuses {
        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                validate TOURS                                                              | 0
                validate TOURS --store STORE --output json                                  | 0
                validate missing.yaml                                                       | 2
                validate                                                                    | 2
                paint TOURS                                                                 | 2
                get                                                                         | 2
                get --store localhost:1                                                     | 2
                get --store STORE --output xml                                              | 2
                get --store STORE                                                           | 0
                get --store STORE --version 9                                               | 2
                publish TOURS --store STORE --expect 0 --operator nadia                     | 2
                publish TOURS --store STORE --expect 0 --operator nadia --why first         | 0
                publish TOURS --store STORE --expect 7 --operator nadia --why first         | 1
                rollback 5 --store STORE --expect 0 --operator nadia --why back             | 2
                diff TOURS --store STORE                                                    | 0
                diff --store STORE                                                          | 2
                history --store STORE --count 3 --output json                               | 0
                """)
        void matchTheResult(String line, int status) {
            assertEquals(status, run(line), () -> line + ": " + printed);
        }
    }

    @Nested
    class Commands {
        @Test
        void publishReportAConflictAndRollBack() throws IOException {
            assertEquals(0, run("publish TOURS --store STORE --expect 0 --operator nadia --why first"));
            String lighter = editedTours("weight: 4", "weight: 2");
            String change = " --store STORE --expect 1 --operator omar --why lighter";
            assertEquals(0, run("publish " + lighter + change), () -> printed);
            assertTrue(printed.contains("* customers/petra-tours: weight 4.0 -> 2.0"), printed);
            assertEquals(1, run("publish " + editedTours("weight: 4", "weight: 3") + change));
            assertTrue(printed.contains("Changed by both: customers/"), printed);
            String fewer = editedTours("maxRunning: 128", "maxRunning: 1");
            assertEquals(2, run("publish " + fewer + " --store STORE --expect 2 --operator omar --why less"));
            assertTrue(printed.contains("maxRunning is lowered"), printed);
            assertEquals(0, run("rollback 1 --store STORE --expect 2 --operator nadia --why back"), () -> printed);
            assertEquals(0, run("diff --from 1 --to 3 --store STORE"));
            assertTrue(printed.startsWith("equal"), printed);
            assertEquals(0, run("history --store STORE"));
            assertTrue(printed.startsWith("version 3 "), printed);
            assertTrue(printed.contains("nadia from command line: rollback to 1 (back)"), printed);
        }

        @Test
        void hashAPassword() {
            InputStream originalInput = System.in;
            System.setIn(new ByteArrayInputStream("battery staple\n".getBytes(StandardCharsets.UTF_8)));
            try {
                assertEquals(0, run("password-hash"));
            } finally {
                System.setIn(originalInput);
            }
            assertTrue(PasswordHash.matches("battery staple", printed.trim()));
        }

        @Test
        void publishOnceIfAResponseIsLost() {
            store.faults().arm(new StandInFault.LoseResponse(), 2);
            assertEquals(0, run("publish TOURS --store STORE --expect 0 --operator nadia --why x"), () -> printed);
            assertEquals(0, run("history --store STORE"));
            assertEquals(
                    1,
                    printed.lines().filter(line -> line.startsWith("version")).count());
        }

        @Test
        void reportThatNothingWasPublishedDuringAnOutage() {
            store.faults().arm(new StandInFault.Refuse(503));
            assertEquals(1, run("publish TOURS --store STORE --expect 0 --operator nadia --why x"));
            assertTrue(printed.startsWith("store_unavailable: Nothing was published."), printed);
            assertTrue(printed.contains("not_run"), printed);
        }
    }
}
