package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each thing that was sent, answered or run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the time since the start, in milliseconds. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String who, String what) {
        out.println(String.format(Locale.ROOT, "%9.3f s  %-10s %s", millis() / 1000.0, who, what));
    }

    /** Writes the result, which also goes to the standard output. */
    synchronized void result(String text) {
        out.println("result: " + text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
