import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%8.1f %s%n", (System.nanoTime() - startedAt) / 1e6, text);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void close() {
        out.close();
    }
}
