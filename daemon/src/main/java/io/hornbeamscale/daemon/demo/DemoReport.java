package io.hornbeamscale.daemon.demo;

import io.hornbeamscale.core.util.Arguments;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints the steps of the demonstration and a table of the results at the end. */
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
     * Prints a line that describes a step.
     *
     * @param text the text, not null
     */
    public void print(String text) {
        out.println(text);
    }

    /**
     * Records and prints an expectation and whether it was met.
     *
     * @param deployment the deployment, not null
     * @param expectation what was expected, not null
     * @param isMet whether it was met
     * @param observed what was observed, not null
     */
    public void expect(String deployment, String expectation, boolean isMet, String observed) {
        rows.add(new Row(deployment, expectation, isMet, observed));
        out.println("  " + (isMet ? "as expected: " : "NOT AS EXPECTED: ") + expectation + " (" + observed + ")");
    }

    /**
     * Prints the table of all expectations.
     *
     * @return whether every expectation was met
     */
    public boolean printSummary() {
        out.println();
        out.printf("%-9s %-6s %-58s %s%n", "where", "result", "expectation", "seen");
        for (Row row : rows) {
            out.printf(
                    "%-9s %-6s %-58s %s%n", row.deployment, row.isMet ? "ok" : "FAILED", row.expectation, row.observed);
        }
        boolean areAllMet = rows.stream().allMatch(Row::isMet);
        out.println(areAllMet ? "All expectations were met." : "Some expectations were not met.");
        return areAllMet;
    }

    private record Row(String deployment, String expectation, boolean isMet, String observed) {}
}
