package org.sardinebay.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldProblem;
import org.sardinebay.record.FieldReader;

/**
 * The settings file of a program. Problems are printed with the field's name, its value and what is
 * allowed.
 *
 * @param <S> the type of the settings
 */
final class SettingsFile<S> {
  private final Program<S> program;
  private final Path file;
  private final PrintStream err;
  private Optional<String> lastText = Optional.empty();

  SettingsFile(Program<S> program, Path file, PrintStream err) {
    this.program = program;
    this.file = file;
    this.err = err;
  }

  /**
   * Reads the settings.
   *
   * @return the settings, empty if the file can't be read or has problems
   */
  synchronized Optional<S> read() {
    Optional<String> text = text();
    if (text.isEmpty()) {
      err.println(program.name() + ": settings file " + file + " can't be read");
      return Optional.empty();
    }
    lastText = text;
    return parse(text.get());
  }

  /**
   * Returns whether the file's content differs from the one that was read last.
   *
   * @return false also if the file can't be read: it may just be about to be replaced
   */
  synchronized boolean changed() {
    Optional<String> text = text();
    return text.isPresent() && !text.equals(lastText);
  }

  private Optional<String> text() {
    try {
      return Optional.of(Files.readString(file));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private Optional<S> parse(String text) {
    JsonNode tree;
    try {
      tree = Json.parseWithComments(text);
    } catch (JsonProcessingException e) {
      err.println(
          program.name()
              + ": settings file "
              + file
              + " is not JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
      return Optional.empty();
    }
    FieldReader reader = FieldReader.of(tree);
    S settings = program.settings(reader);
    reader.rejectUnknownFields();
    List<FieldProblem> problems = reader.problems();
    problems.forEach(problem -> err.println(program.name() + ": " + file + ": " + problem));
    return problems.isEmpty() ? Optional.of(settings) : Optional.empty();
  }
}
