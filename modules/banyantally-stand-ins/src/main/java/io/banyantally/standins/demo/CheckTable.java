package io.banyantally.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Collects the results of checks and prints them as a table. */
final class CheckTable {

    private final List<Row> rows = new ArrayList<>();

    void add(String name, boolean passed, String detail) {
        rows.add(new Row(name, passed, detail));
    }

    boolean allPassed() {
        return rows.stream().allMatch(Row::passed);
    }

    void print(PrintStream output) {
        int width = rows.stream().mapToInt(row -> row.name().length()).max().orElse(0);
        output.println();
        for (Row row : rows) {
            String name = row.name() + " ".repeat(width - row.name().length());
            output.println("  " + (row.passed() ? "ok    " : "FAILED") + "  " + name + "  " + row.detail());
        }
    }

    private record Row(String name, boolean passed, String detail) {}
}
