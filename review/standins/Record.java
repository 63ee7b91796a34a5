import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record {
  private final PrintStream out;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void line(String text) {
    String line = String.format("%8.3f  %s", seconds(), text);
    out.println(line);
    System.out.println(line);
  }
}
