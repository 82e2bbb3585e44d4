package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the body of a script, and ends everything that it started. */
final class Script {

    /** Differs from the exit code of a virtual machine that fails, which is 1. */
    private static final int BROKEN = 3;

    private static final int COULD_NOT_RUN = 2;

    private Script() {}

    /** Returns the exit code of a script whose arguments are the file for its record and a temporary folder. */
    static int run(String[] arguments, Body body) throws IOException {
        List<AutoCloseable> started = new ArrayList<>();
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                return body.isRuleBroken(Path.of(arguments[1]), record, started) ? BROKEN : 0;
            } catch (Exception failure) {
                record.print("the script could not run: %s", failure);
                return COULD_NOT_RUN;
            } finally {
                close(started, record);
            }
        }
    }

    private static void close(List<AutoCloseable> started, Record record) {
        for (AutoCloseable process : started.reversed()) {
            try {
                process.close();
            } catch (Exception failure) {
                record.write("closing failed: %s", failure);
            }
        }
    }

    /** The steps of a script. */
    @FunctionalInterface
    interface Body {

        /**
         * Returns whether the rule was broken.
         *
         * @param folder for settings and logs
         * @param started takes what has to be closed at the end
         */
        boolean isRuleBroken(Path folder, Record record, List<AutoCloseable> started) throws Exception;
    }
}
