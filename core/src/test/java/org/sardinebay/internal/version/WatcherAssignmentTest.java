package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.record.DatabaseRecord;

class WatcherAssignmentTest {
  private static final int HOSTS_PER_DOMAIN = 4;

  private final DatabaseRecord database = PromotionSamples.database(3);
  private final List<ControllerInfo> controllers = controllers();

  @Nested
  class AssignedWatches {
    @Test
    void should_make_one_controller_of_each_failure_domain_active() {
      List<WatchAssignment> active = activeAssignments(Set.of());

      assertThat(active).extracting(WatchAssignment::rank).containsExactlyInAnyOrder(0, 1, 2);
    }

    @Test
    void should_make_the_next_controllers_active_when_the_first_are_silent() {
      Set<HostId> silent = new HashSet<>();
      for (ControllerInfo controller : controllers) {
        assignments(controller).stream()
            .filter(assignment -> assignment.predecessors().isEmpty())
            .forEach(assignment -> silent.add(controller.host()));
      }

      List<WatchAssignment> active = activeAssignments(silent);

      assertThat(active).hasSize(6);
    }

    @Test
    void should_be_empty_in_a_failure_domain_without_members() {
      ControllerInfo withoutMembers =
          new ControllerInfo(
              new HostId("far-1"), new FailureDomain("far"), new Address("127.0.0.1", 99));

      assertThat(assignments(withoutMembers)).isEmpty();
    }

    @Test
    void should_include_two_watchers_of_each_other_failure_domain() {
      WatchAssignment assignment =
          controllers.stream().flatMap(own -> assignments(own).stream()).findFirst().orElseThrow();

      assertThat(assignment.otherWatchers()).hasSize(4);
    }
  }

  @Nested
  class PlatformWatchers {
    @Test
    void should_be_two_of_each_failure_domain_and_the_same_on_every_controller() {
      List<HostId> first = watchers(controllers.get(0));

      assertThat(first).hasSize(6);
      assertThat(controllers).allSatisfy(own -> assertThat(watchers(own)).isEqualTo(first));
    }
  }

  private List<HostId> watchers(ControllerInfo own) {
    return new WatcherAssignment(own, controllers).platformWatchers();
  }

  private List<WatchAssignment> assignments(ControllerInfo own) {
    return new WatcherAssignment(own, controllers).assignedWatches(List.of(database));
  }

  private List<WatchAssignment> activeAssignments(Set<HostId> silent) {
    return controllers.stream()
        .flatMap(own -> assignments(own).stream())
        .filter(assignment -> assignment.active(silent::contains))
        .toList();
  }

  private List<ControllerInfo> controllers() {
    List<ControllerInfo> all = new ArrayList<>();
    for (FailureDomain domain : WatcherAssignment.domains(database)) {
      for (int i = 0; i < HOSTS_PER_DOMAIN; i++) {
        HostId host = new HostId(domain + "-" + i);
        all.add(new ControllerInfo(host, domain, new Address("127.0.0.1", all.size() + 1)));
      }
    }
    return all;
  }
}
