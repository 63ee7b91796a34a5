package org.sardinebay.record;

import java.util.List;
import java.util.Optional;

/**
 * The codecs of all kinds of records that operators write.
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
   * Finds the codec of a kind.
   *
   * @param kind the kind's name
   * @return the codec, empty if operators don't write records of this kind
   */
  public static Optional<RecordCodec<?>> of(String kind) {
    return ALL.stream().filter(codec -> codec.kind().equals(kind)).findFirst();
  }

  /**
   * The kinds of records that operators write.
   *
   * @return the names of the kinds
   */
  public static List<String> kinds() {
    return ALL.stream().<String>map(RecordCodec::kind).toList();
  }
}
