package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ProveCommandTest {
  private static final int SECONDS = 20;
  private static final int CALLERS = 12;
  private static final long SEED = 1;

  @Test
  void should_pass_every_check_under_the_faults_of_a_fixed_seed()
      throws IOException, InterruptedException {
    ByteArrayOutputStream report = new ByteArrayOutputStream();
    Options options =
        new Options(
            "brazos",
            Path.of("..", "deploy"),
            Path.of("target", "run"),
            SEED,
            SECONDS,
            CALLERS,
            Optional.empty(),
            "majority",
            false);

    int status =
        new ProveCommand().run(options, new PrintStream(report, true, StandardCharsets.UTF_8));

    assertThat(status).as(report.toString(StandardCharsets.UTF_8)).isZero();
  }
}
