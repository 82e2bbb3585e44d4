package io.banyantally.standins.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The violations that the interfaces detected. Each is also printed. */
final class ViolationLog {

    private final List<Violation> violations = new CopyOnWriteArrayList<>();

    void add(Violation.Kind kind, String detail) {
        violations.add(new Violation(kind, detail));
        System.out.println("event=violation kind=" + kind + " detail=\"" + detail + "\"");
    }

    List<Violation> all() {
        return List.copyOf(violations);
    }
}
