package io.hornbeamscale.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts, restarts and ends daemons as separate processes on fixed ports. */
final class DaemonProcesses {
    private static final long STOP_SECONDS = 60;

    private final Path directory;
    private final Map<String, Process> running = new HashMap<>();
    private final Map<String, List<String>> commands = new HashMap<>();
    private int heapMegabytes = 128;
    private int maxDescriptors;

    DaemonProcesses(Path directory) {
        this.directory = directory;
    }

    /** Sets the heap and the number of descriptors of each process that is started from now on. */
    void limit(int megabytes, int descriptors) {
        heapMegabytes = megabytes;
        maxDescriptors = descriptors;
    }

    /** Returns the handle of a process. */
    ProcessHandle handle(String name) {
        return running.get(name).toHandle();
    }

    /** Starts a daemon. The name identifies it in the other methods. */
    void start(String name, String role, String settings) {
        try {
            Path file = Files.writeString(directory.resolve(name + ".yaml"), settings);
            launch(name, List.of(role, "--settings", file.toString()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a daemon again with the same settings after it has ended. */
    void restart(String name) throws IOException {
        launch(name, commands.get(name));
    }

    /** Kills a process with SIGKILL and waits for its end. */
    void kill(String name) throws InterruptedException {
        running.get(name).destroyForcibly().waitFor();
    }

    /** Sends SIGTERM. */
    void terminate(String name) {
        running.get(name).destroy();
    }

    /** Waits for the end of a process and returns its exit status. */
    int await(String name) throws InterruptedException {
        Process process = running.get(name);
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(name + " does not end within " + STOP_SECONDS + " s");
        }
        return process.exitValue();
    }

    /** Returns the output of a process. */
    String log(String name) throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    public void close() throws InterruptedException {
        for (Process process : running.values()) {
            process.destroyForcibly().waitFor();
        }
    }

    private void launch(String name, List<String> args) throws IOException {
        commands.put(name, args);
        List<String> command = new ArrayList<>();
        if (maxDescriptors > 0) {
            command.addAll(List.of("sh", "-c", "ulimit -n " + maxDescriptors + "; exec \"$@\"", "sh"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(
                "-Xmx" + heapMegabytes + "m", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path")));
        command.add(Main.class.getName());
        command.addAll(args);
        Path log = directory.resolve(name + ".log");
        running.put(
                name,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start());
    }
}
