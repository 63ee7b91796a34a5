package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.session.MemberEntry;

class MemberDirectoryTest {
  private static final MemberId ID = ServiceViewTest.REPLICA_1;
  private static final MemberEntry ENTRY = ServiceViewTest.entry(ID, false);

  private final MemberDirectory directory = new MemberDirectory();

  @Test
  void should_keep_a_member_for_a_grace_period_after_its_entry_disappeared() {
    directory.replaceAll(List.of(ENTRY), 0);
    directory.remove(ID, 1_000);

    assertThat(directory.members(999 + MemberDirectory.EXPIRY_GRACE_MILLIS))
        .containsExactly(ENTRY.asExpired());
    assertThat(directory.members(1_000 + MemberDirectory.EXPIRY_GRACE_MILLIS)).isEmpty();
  }

  @Test
  void should_keep_a_member_whose_entry_was_registered_again() {
    directory.replaceAll(List.of(ENTRY), 0);
    directory.replaceAll(List.of(), 1_000);
    directory.put(ENTRY);

    assertThat(directory.members(60_000)).containsExactly(ENTRY);
  }

  @Test
  void should_return_the_same_list_until_something_changes() {
    directory.replaceAll(List.of(ENTRY), 0);
    List<MemberEntry> first = directory.members(10);
    directory.replaceAll(List.of(ENTRY), 20);

    assertThat(directory.members(30)).isSameAs(first);
  }

  @Test
  void should_start_the_grace_period_when_the_entry_is_first_missing() {
    directory.replaceAll(List.of(ENTRY), 0);
    directory.replaceAll(List.of(), 1_000);
    directory.replaceAll(List.of(), 3_000);

    assertThat(directory.members(1_000 + MemberDirectory.EXPIRY_GRACE_MILLIS)).isEmpty();
  }
}
