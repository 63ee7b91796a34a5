package org.sardinebay.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ObjectVersionTest {
  private static final long MAX_ERA = (1L << 23) - 1;
  private static final long MAX_REVISION = (1L << 40) - 1;

  @Property
  void should_keep_era_and_revision(
      @ForAll @LongRange(max = MAX_ERA) long era,
      @ForAll @LongRange(max = MAX_REVISION) long revision) {
    long version = ObjectVersion.of(era, revision);

    assertThat(ObjectVersion.era(version)).isEqualTo(era);
    assertThat(ObjectVersion.revision(version)).isEqualTo(revision);
  }

  @Property
  void should_increase_with_the_era_whatever_the_revisions(
      @ForAll @LongRange(max = MAX_ERA - 1) long era,
      @ForAll @LongRange(max = MAX_REVISION) long earlier,
      @ForAll @LongRange(max = MAX_REVISION) long later) {
    assertThat(ObjectVersion.of(era + 1, later)).isGreaterThan(ObjectVersion.of(era, earlier));
  }

  @Test
  void should_equal_the_revision_in_a_store_without_eras() {
    assertThat(ObjectVersion.of(0, 412)).isEqualTo(412);
    assertThat(ObjectVersion.text(412)).isEqualTo("412");
  }

  @Test
  void should_name_the_era_in_its_text() {
    assertThat(ObjectVersion.text(ObjectVersion.of(2, 412))).isEqualTo("2.412");
  }

  @Test
  void should_refuse_numbers_out_of_range() {
    assertThat(ObjectVersion.valid(MAX_ERA + 1, 0)).isFalse();
    assertThat(ObjectVersion.valid(0, MAX_REVISION + 1)).isFalse();
    assertThatThrownBy(() -> ObjectVersion.of(0, -1)).isInstanceOf(IllegalArgumentException.class);
  }
}
