package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Writes one line. */
    synchronized void write(String format, Object... arguments) {
        String line = String.format(
                Locale.ROOT,
                "%8.3f  %s",
                (System.nanoTime() - startedAt) / 1e9,
                String.format(Locale.ROOT, format, arguments));
        writer.println(line);
    }

    /** Writes one line and prints it. */
    void print(String format, Object... arguments) {
        write(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
