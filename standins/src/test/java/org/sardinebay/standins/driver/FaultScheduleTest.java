package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;

class FaultScheduleTest {
  private static final long RUN_MILLIS = 60_000;

  private DeploymentSpec spec;

  @BeforeTry
  void load() throws IOException {
    spec = DeploymentSpec.load(Path.of("..", "deploy", "brazos.json"));
  }

  @Property(seed = "7", tries = 50)
  void should_draw_the_same_faults_from_the_same_seed(@ForAll long seed) {
    List<Fault> first = draw(seed);

    List<Fault> second = draw(seed);

    assertThat(second).isEqualTo(first);
  }

  @Property(seed = "8", tries = 50)
  void should_contain_the_mandatory_faults(@ForAll long seed) {
    List<Fault> faults = draw(seed);

    assertThat(faults)
        .extracting(Fault::kind)
        .contains(
            FaultKind.TERMINATE,
            FaultKind.LEAVING_ENDPOINT,
            FaultKind.RACING_OPERATORS,
            FaultKind.PLATFORM_OUTAGE);
    assertThat(faults).anyMatch(fault -> fault.target().startsWith(Fault.PRIMARY_OF));
  }

  @Property(seed = "9", tries = 50)
  void should_freeze_for_longer_than_three_seconds(@ForAll long seed) {
    List<Fault> faults = draw(seed);

    assertThat(faults)
        .filteredOn(fault -> fault.kind() == FaultKind.FREEZE)
        .allMatch(fault -> fault.durationMillis() > 3_000);
  }

  private List<Fault> draw(long seed) {
    return new FaultSchedule(spec, new Random(seed)).draw(RUN_MILLIS);
  }
}
