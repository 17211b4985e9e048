package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.daemon.config.ConfigCommand;
import io.hornbeamscale.standin.StoreStandIn;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a published document version that does not come into force at every entry (guarantee G7). */
class ConfigDistributionTest {
    @TempDir
    private Path directory;

    @Test
    void publishedDocumentComesIntoForceAtEveryEntry() throws Exception {
        StoreStandIn store = StoreStandIn.builder().build();
        String storeAddress = Addresses.format(store.start());
        List<InetSocketAddress> framesAddresses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            framesAddresses.add(Addresses.loopback(TestSettings.freePort()));
        }
        List<EntryDaemon> entries = new ArrayList<>();
        for (int i = 0; i < framesAddresses.size(); i++) {
            EntryDaemon entry = new EntryDaemon(entry(i, framesAddresses, URI.create("http://" + storeAddress)));
            entry.start();
            entries.add(entry);
        }
        Path document = TestSettings.document(directory, List.of(TestSettings.freePort()), List.of());
        publish(storeAddress, document, 0);
        Await.until("version 1 is in force at every entry", () -> isInForce(entries, 1));
        Path changed =
                TestSettings.document(directory, List.of(TestSettings.freePort(), TestSettings.freePort()), List.of());
        publish(storeAddress, changed, 1);
        Await.until("version 2 is in force at every entry", () -> isInForce(entries, 2));
        entries.forEach(EntryDaemon::close);
        store.close();
    }

    private static boolean isInForce(List<EntryDaemon> entries, long version) {
        return entries.stream().allMatch(entry -> entry.configVersion() == version);
    }

    private static void publish(String store, Path document, long expectedVersion) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(output, true, StandardCharsets.UTF_8);
        int status = ConfigCommand.run(
                new String[] {
                    "publish",
                    document.toString(),
                    "--store",
                    store,
                    "--expect",
                    Long.toString(expectedVersion),
                    "--accept-warnings",
                    "--why",
                    "test",
                    "--operator",
                    "test"
                },
                print,
                print);
        assertEquals(0, status, output.toString(StandardCharsets.UTF_8));
    }

    private static EntrySettings entry(int index, List<InetSocketAddress> framesAddresses, URI store) {
        List<InetSocketAddress> peers = new ArrayList<>(framesAddresses);
        peers.remove(index);
        InetSocketAddress free = Addresses.loopback(0);
        return new EntrySettings(
                "e" + index,
                "amman",
                "amman-a",
                free,
                free,
                framesAddresses.get(index),
                peers,
                "amman",
                null,
                store,
                null,
                null,
                16 * 1024,
                1_000,
                "text");
    }
}
