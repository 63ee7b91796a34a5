package org.sardinebay.desugar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** Code of the kinds that are desugared; {@link #results()} describes what it computed. */
public final class Samples {
  private final String field;

  private Samples(String field) {
    this.field = field;
  }

  /** A record with fields of several types. */
  record Mixed(
      String text, int number, long big, double real, char letter, short small, boolean flag) {}

  /** An interface with a lambda in a private method. */
  private interface Named {
    String name();

    default Supplier<String> described() {
      return this::own;
    }

    private String own() {
      return "named ".concat(name());
    }
  }

  private String join(String other, long number) {
    return field.concat(other).concat(Long.toString(number));
  }

  private Function<String, String> capturing(long number, double real) {
    return text -> join(text, number).concat(Double.toString(real));
  }

  /** Returns the results of all samples. */
  public static List<String> results() {
    List<String> results = new ArrayList<>();
    Samples samples = new Samples("f");
    results.add(samples.capturing(7, 0.5).apply("x"));
    Function<String, Samples> constructor = Samples::new;
    results.add(constructor.apply("made").field);
    IntFunction<int[]> array = int[]::new;
    results.add(Integer.toString(array.apply(3).length));
    ToLongFunction<Integer> unboxedAndWidened = Integer::intValue;
    results.add(Long.toString(unboxedAndWidened.applyAsLong(5)));
    ToDoubleFunction<Long> widened = Long::longValue;
    results.add(Double.toString(widened.applyAsDouble(6L)));
    LongFunction<Object> boxed = Long::valueOf;
    results.add(boxed.apply(9).toString());
    Supplier<Integer> bound = "four"::length;
    results.add(bound.get().toString());
    BiFunction<String, String, Boolean> unbound = String::equals;
    results.add(unbound.apply("a", "a").toString());
    Runnable dropsResult = () -> results.add("ran");
    dropsResult.run();
    Named named = () -> "inner";
    results.add(named.described().get());
    Mixed mixed = new Mixed("t", 1, 2, -0.0, 'c', (short) 4, true);
    Mixed same = new Mixed("t", 1, 2, -0.0, 'c', (short) 4, true);
    results.add(Boolean.toString(mixed.equals(same)));
    results.add(Boolean.toString(mixed.equals(new Mixed("t", 1, 2, 0.0, 'c', (short) 4, true))));
    results.add(Boolean.toString(mixed.equals(new Mixed(null, 1, 2, -0.0, 'c', (short) 4, true))));
    results.add(Boolean.toString(mixed.hashCode() == same.hashCode()));
    results.add(
        Integer.toString(new Mixed(null, 3, 1L << 40, 1.5, 'd', (short) 5, false).hashCode()));
    results.add(new Mixed("t", 1, 2, 3, 'e', (short) 6, true).toString());
    return results;
  }
}
