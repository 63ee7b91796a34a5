package org.sardinebay.record;

import java.util.List;
import java.util.Optional;

/**
 * Finds the codec of a kind.
 *
 * <pre>{@code
 * Optional<RecordCodec<?>> codec = RecordCodecs.of("databases");
 * }</pre>
 */
public final class RecordCodecs {
  private static final List<RecordCodec<?>> ALL =
      List.of(new DatabaseCodec(), new ProxyCodec(), new StalenessCodec());

  private RecordCodecs() {}

  /**
   * The codec of a kind.
   *
   * @param kind the kind's name
   * @return the codec, empty if operators write no records of this kind
   */
  public static Optional<RecordCodec<?>> of(String kind) {
    return ALL.stream().filter(codec -> codec.kind().equals(kind)).findFirst();
  }

  /**
   * The kinds of records that operators write.
   *
   * @return the kinds' names
   */
  public static List<String> kinds() {
    return ALL.stream().<String>map(RecordCodec::kind).toList();
  }
}
