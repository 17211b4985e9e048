package io.hornbeamscale.measure.document;

import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.PublishedHead;
import io.hornbeamscale.core.audit.TrailLimits;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.DocumentValidator;
import io.hornbeamscale.core.document.DocumentYaml;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntSupplier;

/** Measures the size, validation time and publishing cost of the document and prints one line per figure. */
public final class DocumentCommand {
    private static final int CUSTOMERS = 500;
    private static final int BACKENDS = 600;
    private static final int CHANGES = 1_000;
    private static final int REPETITIONS = 31;
    private static final int WARM_UP_REPETITIONS = 150;
    private static final int NANOS_PER_MICRO = 1_000;
    private static final long SEED = 1;

    private DocumentCommand() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out));
    }

    /**
     * Runs the command.
     *
     * @param args not used
     * @param out the stream that the lines are printed to, not null
     * @return the exit status: 0, or 1 if publishing failed
     */
    public static int run(String[] args, PrintStream out) {
        printSizes(out);
        printTimes(out);
        return measurePublishing(out) ? 0 : 1;
    }

    private static int utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static void printLine(PrintStream out, String name, String format, Object... values) {
        out.printf(Locale.ROOT, "%-58s " + format + "%n", prepend(name, values));
    }

    private static Object[] prepend(String name, Object... values) {
        Object[] all = new Object[values.length + 1];
        all[0] = name;
        System.arraycopy(values, 0, all, 1, values.length);
        return all;
    }

    private static void printSizes(PrintStream out) {
        Document document = SampleDocuments.of(CUSTOMERS, BACKENDS);
        int size = utf8Bytes(DocumentJson.canonical(document));
        printLine(out, "document, 500 customers, 6 models, 600 backend servers", "%d bytes", size);
        printLine(
                out,
                "share of the greatest document",
                "%.1f percent of %d bytes",
                100.0 * size / DocumentValidator.MAX_DOCUMENT_BYTES,
                DocumentValidator.MAX_DOCUMENT_BYTES);
        printLine(out, "the same as YAML", "%d bytes", utf8Bytes(DocumentYaml.write(document)));
        DocumentDiff change = DocumentDiff.between(document, SampleDocuments.withCustomerWeight(document, 1, 7));
        printLine(out, "one changed customer as a difference for peers", "%d bytes", utf8Bytes(change.toJson()));
    }

    private static void printTimes(PrintStream out) {
        Document warmUp = SampleDocuments.of(CUSTOMERS / 2, BACKENDS / 2);
        for (int i = 0; i < WARM_UP_REPETITIONS; i++) {
            DocumentYaml.read(DocumentYaml.write(warmUp));
        }
        for (int scale : new int[] {1, 2, 4}) {
            Document document = SampleDocuments.of(CUSTOMERS * scale / 4, BACKENDS * scale / 4);
            int entities = document.customers().size() + document.backends().size();
            long validationNanos =
                    medianNanos(() -> DocumentValidator.validate(document).size());
            String yaml = DocumentYaml.write(document);
            long readNanos =
                    medianNanos(() -> DocumentYaml.read(yaml).problems().size());
            printLine(
                    out,
                    "validation of " + entities + " customers and backend servers",
                    "%d us, %.2f us per entity; with reading YAML %d us",
                    validationNanos / NANOS_PER_MICRO,
                    (double) validationNanos / NANOS_PER_MICRO / entities,
                    readNanos / NANOS_PER_MICRO);
        }
    }

    private static long medianNanos(IntSupplier work) {
        long[] times = new long[REPETITIONS];
        int problems = 0;
        for (int i = 0; i < REPETITIONS; i++) {
            problems += work.getAsInt();
        }
        for (int i = 0; i < REPETITIONS; i++) {
            long start = System.nanoTime();
            problems += work.getAsInt();
            times[i] = System.nanoTime() - start;
        }
        if (problems > 0) {
            throw new IllegalStateException("the sample document is not valid");
        }
        Arrays.sort(times);
        return times[REPETITIONS / 2];
    }

    private static boolean measurePublishing(PrintStream out) {
        CountingStore store = new CountingStore();
        Document document = SampleDocuments.of(CUSTOMERS, BACKENDS);
        boolean isPublished = publish(store, 0, document);
        printLine(
                out,
                "first version: value with its audit record",
                "%d bytes, %d calls",
                store.valueBytes(PublishedHead.KEY),
                store.reads() + store.writes());
        int reads = store.reads();
        int writes = store.writes();
        for (int i = 1; i <= CHANGES && isPublished; i++) {
            document = SampleDocuments.withCustomerWeight(document, i * 7, 1 + i % 9 + 0.5);
            isPublished = publish(store, i, document);
        }
        printLine(
                out,
                "a day of 1,000 changes of one customer each",
                "%.3f reads and %.3f writes per change, %d keys",
                (double) (store.reads() - reads) / CHANGES,
                (double) (store.writes() - writes) / CHANGES,
                store.keyCount());
        printLine(
                out,
                "greatest value in these days",
                "%d bytes, %.1f percent of 1 MB",
                store.maxValueBytes(),
                100.0 * store.maxValueBytes() / TrailLimits.STORE.maxValueBytes());
        return isPublished;
    }

    private static boolean publish(CountingStore store, long expected, Document document) {
        PublishRequest request = new PublishRequest(
                "writer-" + expected,
                "operator-1",
                "console at 10.0.0.9",
                1_800_000_000_000L,
                "weight of the contract",
                expected,
                document,
                0,
                true);
        return new PublishController(request, TrailLimits.STORE, new Random(SEED))
                        .run(store::apply, () -> 0, millis -> {})
                instanceof PublishResult.Published;
    }
}
