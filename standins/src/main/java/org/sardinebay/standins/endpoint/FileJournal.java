package org.sardinebay.standins.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.sardinebay.net.http.Json;

/**
 * The journal of a member in a file, one JSON object per line. Writes are not synced to disk: the
 * journal survives a crash of the process, not of the machine.
 */
final class FileJournal {
  private final FileChannel channel;
  private final List<JournalRecord> restored;

  private FileJournal(FileChannel channel, List<JournalRecord> restored) {
    this.channel = channel;
    this.restored = restored;
  }

  /**
   * Opens a journal and reads its records. An incomplete last line, as a killed process can leave
   * it, is truncated.
   */
  static FileJournal open(Path file) throws IOException {
    Path parent = file.toAbsolutePath().getParent();
    Files.createDirectories(parent);
    byte[] content = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
    List<JournalRecord> records = new ArrayList<>();
    int lineStart = 0;
    for (int i = 0; i < content.length; i++) {
      if (content[i] == '\n') {
        records.add(read(Arrays.copyOfRange(content, lineStart, i)));
        lineStart = i + 1;
      }
    }
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    channel.truncate(lineStart);
    channel.position(lineStart);
    return new FileJournal(channel, records);
  }

  /** Returns the records that the file contained when it was opened. */
  List<JournalRecord> restored() {
    return restored;
  }

  void write(List<JournalRecord> records) throws IOException {
    if (records.isEmpty()) {
      return;
    }
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    for (JournalRecord journalRecord : records) {
      lines.writeBytes(Json.bytes(EntryCodec.encode(journalRecord)));
      lines.write('\n');
    }
    ByteBuffer buffer = ByteBuffer.wrap(lines.toByteArray());
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  void close() throws IOException {
    channel.close();
  }

  private static JournalRecord read(byte[] line) throws IOException {
    Optional<JsonNode> tree = Json.parse(line);
    try {
      return EntryCodec.decodeRecord(tree.orElseThrow(IllegalArgumentException::new));
    } catch (IllegalArgumentException e) {
      throw new IOException("invalid line in the data file", e);
    }
  }
}
