package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.FieldReader;
import org.sardinebay.record.RecordCodec;
import org.sardinebay.record.RecordCodecs;
import org.sardinebay.record.RecordResult;

/** Reads and validates a file with one record or a list of records. */
final class RecordFile {
  private static final String VERSION = "version";

  private final Path path;

  RecordFile(Path path) {
    this.path = path;
  }

  RecordFileResult read() {
    JsonNode tree;
    try {
      tree = Json.parseWithComments(Files.readString(path));
    } catch (JsonProcessingException e) {
      return unreadable(
          "it is not JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
    } catch (IOException e) {
      return unreadable("it does not exist or is not readable");
    }
    List<RecordDraft> drafts = new ArrayList<>();
    for (JsonNode element : tree.isArray() ? tree : List.of(tree)) {
      RecordFileResult result = read(element);
      if (result instanceof RecordFileResult.Invalid) {
        return result;
      }
      drafts.addAll(((RecordFileResult.Valid) result).drafts());
    }
    return drafts.isEmpty()
        ? unreadable("it contains no records")
        : new RecordFileResult.Valid(List.copyOf(drafts));
  }

  private RecordFileResult read(JsonNode element) {
    FieldReader reader = FieldReader.of(element);
    ObjectKey key = new ObjectKey(reader.text("kind"), reader.text("name"));
    FieldReader spec = reader.object("spec");
    OptionalLong version =
        reader.has(VERSION)
            ? OptionalLong.of(reader.number(VERSION, 0, Long.MAX_VALUE))
            : OptionalLong.empty();
    reader.rejectUnknownFields();
    if (!reader.problems().isEmpty()) {
      return invalidFields("a record in " + path, reader.problems());
    }
    Optional<RecordCodec<?>> codec = RecordCodecs.of(key.kind());
    if (codec.isEmpty()) {
      return new RecordFileResult.Invalid(new Failure.UnknownKind(key.kind()));
    }
    if (codec.get().read(key.name(), spec.tree()) instanceof RecordResult.Invalid<?> invalid) {
      return invalidFields(key.toString(), invalid.problems());
    }
    return new RecordFileResult.Valid(List.of(new RecordDraft(key, spec.tree(), version)));
  }

  private static RecordFileResult invalidFields(String record, List<FieldProblem> problems) {
    return new RecordFileResult.Invalid(new Failure.InvalidFields(record, problems));
  }

  private RecordFileResult unreadable(String reason) {
    return new RecordFileResult.Invalid(new Failure.UnreadableFile(path, reason));
  }
}
