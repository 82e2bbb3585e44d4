import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for everything that was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {

    private final PrintWriter file;
    private final long startedAt = System.nanoTime();

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    synchronized void line(String text) {
        file.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        file.flush();
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
