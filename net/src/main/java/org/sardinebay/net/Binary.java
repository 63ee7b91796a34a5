package org.sardinebay.net;

import java.io.IOException;
import java.util.List;
import org.sardinebay.record.FieldReader;

/**
 * One of the system's programs, as {@link BinaryMain} runs it.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *   System.exit(BinaryMain.run(new ProxyBinary(), args));
 * }
 * }</pre>
 *
 * @param <S> the program's checked settings
 */
public interface Binary<S> {
  /**
   * The program's name.
   *
   * @return a name in lower case with hyphens, such as {@code sardinebay-proxy}
   */
  String name();

  /**
   * What the program is for.
   *
   * @return one line for {@code --help}
   */
  String summary();

  /**
   * Reads the settings. Problems are left in the reader.
   *
   * @param reader the settings file's root object
   * @return the settings; used only if the reader found no problem
   */
  S settings(FieldReader reader);

  /**
   * Starts the program.
   *
   * @param settings its checked settings
   * @return the running program
   * @throws IOException if an address can't be bound
   */
  RunningProcess start(S settings) throws IOException;

  /**
   * Settings that should be seen in {@code --help}.
   *
   * @return one line for each field
   */
  List<String> settingsHelp();

  /**
   * Takes over settings that were read again from the changed file, as far as that goes without a
   * restart. By default nothing does.
   *
   * @param settings the checked settings
   */
  default void reload(S settings) {}
}
