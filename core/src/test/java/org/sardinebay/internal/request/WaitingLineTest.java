package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitingLineTest {
  private final WaitingLine<String> line = new WaitingLine<>();

  @Test
  void should_serve_the_higher_priority_first_and_then_the_nearer_end() {
    line.add("late", 2, 900);
    line.add("soon", 2, 500);
    line.add("urgent", 1, 900);
    List<String> served = new ArrayList<>();
    line.serve(served::add);

    assertThat(served).containsExactly("urgent", "soon", "late");
    assertThat(line.size()).isZero();
  }

  @Test
  void should_keep_what_finds_no_place() {
    line.add("a", 1, 500);
    line.add("b", 1, 600);
    line.serve(item -> item.equals("b"));

    assertThat(line.expire(1_000)).containsExactly("a");
  }

  @Test
  void should_hand_out_only_what_is_over() {
    line.add("a", 1, 500);
    line.add("b", 1, 600);

    assertThat(line.expire(500)).containsExactly("a");
    assertThat(line.size()).isEqualTo(1);
  }
}
