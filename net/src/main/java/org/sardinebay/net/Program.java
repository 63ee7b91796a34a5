package org.sardinebay.net;

import java.io.IOException;
import java.util.List;
import org.sardinebay.record.FieldReader;

/**
 * One of the system's programs, run by {@link ProgramRunner}.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *   System.exit(ProgramRunner.run(new ProxyProgram(), args));
 * }
 * }</pre>
 *
 * @param <S> the type of the program's settings
 */
public interface Program<S> {
  /**
   * Returns the program's name.
   *
   * @return a name in lower case with hyphens, such as {@code sardinebay-proxy}
   */
  String name();

  /**
   * Returns a one-line summary of the program.
   *
   * @return the first line of {@code --help}
   */
  String summary();

  /**
   * Reads the settings and reports problems to the reader.
   *
   * @param reader the settings file's root object
   * @return the settings; ignored if the reader has problems
   */
  S settings(FieldReader reader);

  /**
   * Starts the program.
   *
   * @param settings the validated settings
   * @return the running program
   * @throws IOException if an address can't be bound
   */
  RunningProcess start(S settings) throws IOException;

  /**
   * Describes the settings for {@code --help}.
   *
   * @return one line per field
   */
  List<String> settingsHelp();

  /**
   * Applies settings that were reloaded from the changed file, as far as that is possible without a
   * restart. The default implementation applies none.
   *
   * @param settings the validated settings
   */
  default void reload(S settings) {}
}
