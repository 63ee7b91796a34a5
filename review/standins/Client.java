import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A caller's session. */
final class Client implements AutoCloseable {
  /** An answer; the outcome is the line DONE or ERR, or "cut" if the connection ended. */
  record Answer(List<String> rows, String outcome) {
    boolean success() {
      return outcome.startsWith("DONE");
    }
  }

  private final String name;
  private final Record record;
  private final Socket socket;
  private final InputStream in;

  Client(String name, int port, String database, Record record) throws IOException {
    this.name = name;
    this.record = record;
    this.socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(15_000);
    this.in = new BufferedInputStream(socket.getInputStream());
    send("START " + database + " " + name);
    String ready = Members.line(in);
    if (ready == null || !ready.startsWith("READY")) {
      throw new IOException("no session: " + ready);
    }
  }

  void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  Answer query(String id, String text) {
    try {
      record.line("client " + name + " sends " + id + " " + brief(text));
      send("QUERY " + id + " " + text);
    } catch (IOException e) {
      return answered(id, new Answer(List.of(), "cut"));
    }
    return answered(id, read());
  }

  Answer read() {
    List<String> rows = new ArrayList<>();
    String outcome = "cut";
    try {
      for (String line = Members.line(in); line != null; line = Members.line(in)) {
        if (line.startsWith("ROW ")) {
          rows.add(line.substring(4));
        } else if (line.startsWith("READY ")) {
          return new Answer(rows, outcome);
        } else {
          outcome = line;
        }
      }
    } catch (IOException e) {
      // The connection has ended.
    }
    return new Answer(rows, "cut");
  }

  private Answer answered(String id, Answer answer) {
    record.line("client " + name + " gets " + id + " " + brief(answer.rows() + " " + answer.outcome()));
    return answer;
  }

  private static String brief(String text) {
    return text.length() <= 160 ? text : text.substring(0, 160) + "... (" + text.length() + ")";
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }
}
