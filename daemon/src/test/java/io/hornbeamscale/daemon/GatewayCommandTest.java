package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.beust.jcommander.JCommander;
import io.hornbeamscale.core.hedge.HedgePolicy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against options of the gateway without effect. */
class GatewayCommandTest {
    private static final String SETTINGS = "{\"nodeName\":\"edge-1\",\"ip\":\"10.1.0.19\",\"zone\":\"a\","
            + "\"bounds\":{\"retryBudget\":0.2,\"budgetWindowS\":10,\"retrySlack\":54},"
            + "\"hedging\":{\"enabled\":true,\"share\":0.01},\"platform\":{\"address\":\"10.200.1.7:8742\"}}";

    @TempDir
    private Path folder;

    private HedgePolicy hedging(String... options) throws IOException {
        Path file = Files.writeString(folder.resolve("boot.json"), SETTINGS);
        GatewayCommand command = new GatewayCommand();
        JCommander.newBuilder().addObject(command).build().parse(options);
        return command.readSettings(file.toString()).hedging();
    }

    @Nested
    class HedgePercent {
        @Test
        void leavesTheSettingsInForceIfItIsAbsent() throws IOException {
            assertEquals(HedgePolicy.ofShare(0.01), hedging());
        }

        @Test
        void replacesTheSettings() throws IOException {
            assertEquals(HedgePolicy.ofShare(0.025), hedging("--hedge-percent", "2.5"));
        }

        @Test
        void switchesHedgingOffWithZero() throws IOException {
            assertEquals(HedgePolicy.ofShare(0), hedging("--hedge-percent", "0"));
        }
    }
}
