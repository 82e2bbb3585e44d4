package io.banyantally.standins.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Keeps the violations that the interfaces have seen. */
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
