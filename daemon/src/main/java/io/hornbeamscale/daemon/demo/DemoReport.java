package io.hornbeamscale.daemon.demo;

import io.hornbeamscale.core.util.Arguments;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints the steps of the demonstration and a closing table. */
public final class DemoReport {
    private final PrintStream out;
    private final List<Row> rows = new ArrayList<>();

    /**
     * Creates a report.
     *
     * @param out where the report goes, not null
     */
    public DemoReport(PrintStream out) {
        this.out = Arguments.notNull(out, "out");
    }

    /**
     * Prints what happens.
     *
     * @param text the text, not null
     */
    public void print(String text) {
        out.println(text);
    }

    /**
     * Notes an expectation and whether it was met.
     *
     * @param deployment the deployment, not null
     * @param expectation what was expected, not null
     * @param isMet whether it was met
     * @param seen what was seen, not null
     */
    public void expect(String deployment, String expectation, boolean isMet, String seen) {
        rows.add(new Row(deployment, expectation, isMet, seen));
        out.println("  " + (isMet ? "as expected: " : "NOT AS EXPECTED: ") + expectation + " (" + seen + ")");
    }

    /**
     * Prints the table.
     *
     * @return whether every expectation was met
     */
    public boolean printSummary() {
        out.println();
        out.printf("%-9s %-6s %-58s %s%n", "where", "result", "expectation", "seen");
        for (Row row : rows) {
            out.printf("%-9s %-6s %-58s %s%n", row.deployment, row.isMet ? "ok" : "FAILED", row.expectation, row.seen);
        }
        boolean isAllMet = rows.stream().allMatch(Row::isMet);
        out.println(isAllMet ? "All expectations were met." : "Some expectations were not met.");
        return isAllMet;
    }

    private record Row(String deployment, String expectation, boolean isMet, String seen) {}
}
