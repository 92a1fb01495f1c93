import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what a case sent, received and observed to record.txt and to standard output. */
final class Record implements AutoCloseable {

  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(path.toFile(), StandardCharsets.UTF_8);
  }

  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    String text = String.format("%8.3f  ", seconds) + String.format(format, values);
    file.println(text);
    file.flush();
    System.out.println(text);
  }

  @Override
  public void close() {
    file.close();
  }
}
