import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with the time in seconds. */
final class Record {
    private static PrintStream out = System.out;
    private static final long START = System.nanoTime();

    private Record() {}

    static void open(String file) throws IOException {
        out = new PrintStream(Path.of(file).toFile(), "UTF-8");
    }

    static synchronized void line(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        out.printf(Locale.ROOT, "%8.3f  %s%n", (System.nanoTime() - START) / 1e9, text);
        out.flush();
    }
}
