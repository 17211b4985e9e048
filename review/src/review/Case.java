package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** The parts that every script shares: the store with the manifest, the record, the temporary folder and the end. */
abstract class Case {
    /** A manifest like that of a small deployment: figures of the page on the platform and of the site's sheet. */
    static final String MANIFEST = "{\"version\":7,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"shop.example\",\"prefix\":\"/book/\",\"routeType\":\"non_idempotent\","
            + "\"timeoutMs\":2000,\"targetLatencyMs\":221,\"priority\":2,\"service\":\"box-office\",\"attempts\":1,"
            + "\"public\":false,\"sessionAffinity\":false,\"resumable\":false},"
            + "{\"name\":\"look\",\"host\":\"shop.example\",\"prefix\":\"/look/\",\"routeType\":\"idempotent\","
            + "\"timeoutMs\":2000,\"targetLatencyMs\":221,\"priority\":2,\"service\":\"box-office\",\"attempts\":2,"
            + "\"public\":false,\"sessionAffinity\":false,\"resumable\":false},"
            + "{\"name\":\"tale\",\"host\":\"shop.example\",\"prefix\":\"/tale/\",\"routeType\":\"streaming\","
            + "\"timeoutMs\":39000,\"targetLatencyMs\":1800,\"priority\":1,\"service\":\"storyteller\",\"attempts\":1,"
            + "\"public\":false,\"sessionAffinity\":true,\"resumable\":false,\"gapTargetMs\":180}],"
            + "\"services\":[{\"name\":\"box-office\",\"healthPath\":\"/health\",\"maxConnections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"storyteller\",\"healthPath\":\"/health\",\"maxConnections\":242,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":24,\"kvCapacity\":34377,\"kvTokenBytes\":163840,"
            + "\"linkMbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,"
            + "\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"good-key\"],\"priority\":1}]}";

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    private static final long MAX_MILLIS = 117_000;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();
    Record record;
    Platform platform;
    Path temporary;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    final void run(String folder) {
        int status;
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        Server.start(this::endAtLimit, "time-limit");
        try (Record written = new Record(Path.of(folder))) {
            record = written;
            record.line("case", hasTrouble ? "with the disruption" : "without the disruption");
            temporary = Files.createTempDirectory("review");
            platform = new Platform(Entry.freeIp());
            platform.put("op/config", MANIFEST);
            status = play() ? HELD : BROKEN;
            record.result(status == HELD ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        end();
        Runtime.getRuntime().halt(status);
    }

    Entry startEntry(String name, String zone) throws IOException, InterruptedException {
        Entry entry = new Entry(name, zone, platform, temporary, record);
        opened.add(entry);
        entry.start();
        return entry;
    }

    Server startServer(String id, String service, String zone, Server.Work work) throws IOException {
        Server server = new Server(id, service, Entry.freeIp(), platform, record, work);
        opened.add(server);
        server.register(zone, "ready", 1);
        return server;
    }

    /** Pauses the thread. */
    static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends a case that exceeds its time. */
    private void endAtLimit() {
        pause(MAX_MILLIS);
        System.out.println("the case exceeded " + MAX_MILLIS + " ms");
        end();
        Runtime.getRuntime().halt(COULD_NOT_RUN);
    }

    private synchronized void end() {
        for (AutoCloseable each : opened) {
            try {
                each.close();
            } catch (Exception e) {
                e.printStackTrace();
            }
        }
        if (platform != null) {
            platform.close();
        }
        if (temporary == null || System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
