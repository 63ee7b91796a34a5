package org.sardinebay.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.platform.HttpPlatformClient;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.standins.platform.FreePorts;
import org.sardinebay.standins.platform.PlatformFaults;
import org.sardinebay.standins.platform.PlatformServer;
import org.sardinebay.standins.platform.PlatformSettings;

class CtlMainTest {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final String RULE =
      "{\"kind\":\"staleness\",\"name\":\"tablets\",\"spec\":"
          + "{\"schemaVersion\":1,\"database\":\"*\",\"maxAgeSeconds\":%d}}";

  @TempDir private Path directory;
  private final Address address = FreePorts.next();
  private PlatformServer platform;
  private JsonHttpClient http;
  private PlatformClient client;

  @BeforeEach
  void start() throws IOException {
    platform = PlatformServer.start(PlatformSettings.of(address, List.of()), Clock.system());
    http = JsonHttpClient.start("test", 1);
    client = new HttpPlatformClient(http, address, AddressTranslation.none());
  }

  @AfterEach
  void stop() {
    http.stop();
    platform.shutdown();
  }

  @Nested
  class Arguments {
    @Test
    void should_print_its_help_and_version() {
      CtlRun help = CtlRun.of("--help");
      CtlRun version = CtlRun.of("--version");

      assertThat(help.exitStatus()).isZero();
      assertThat(help.out()).contains("apply -f FILE", "dump ADDRESS");
      assertThat(version.out()).isEqualTo("sardinebayctl 0.1.0\n");
    }

    @Test
    void should_reject_invalid_command_lines_with_status_2() {
      List<CtlRun> runs =
          List.of(
              CtlRun.of(),
              CtlRun.of("--platform", address.toString(), "destroy"),
              CtlRun.of("list", "databases"),
              CtlRun.of("--platform", address.toString(), "list"),
              CtlRun.of("--platform", address.toString(), "list", "databasess"),
              CtlRun.of("--platform", address.toString(), "watch", "databasess"),
              CtlRun.of("--platform", address.toString(), "list", "databases", "--schema", "1"),
              CtlRun.of("--platform", address.toString(), "delete", "databases", "d"),
              CtlRun.of("--platform", address.toString(), "get", "a", "b", "--schema", "x"));

      assertThat(runs).extracting(CtlRun::exitStatus).containsOnly(2);
      assertThat(runs).extracting(CtlRun::err).allMatch(text -> text.contains("next:"));
    }
  }

  @Nested
  class Apply {
    @Test
    void should_write_a_record_only_when_it_has_changed() {
      CtlRun first = apply(rule(5));
      CtlRun second = apply(rule(5));
      CtlRun third = apply(rule(6));

      assertThat(first.out()).isEqualTo("applied kind=staleness name=tablets version=1\n");
      assertThat(second.out()).isEqualTo("unchanged kind=staleness name=tablets version=1\n");
      assertThat(third.out()).isEqualTo("applied kind=staleness name=tablets version=2\n");
    }

    @Test
    void should_write_no_record_of_a_list_with_an_invalid_record() {
      String invalid = rule(5).replace("tablets", "docks").replace("5", "-1");

      CtlRun run = apply("// two rules\n[" + rule(5) + "," + invalid + "]");

      assertThat(run.exitStatus()).isEqualTo(2);
      assertThat(run.err()).contains("staleness/docks", "field maxAgeSeconds has value -1");
      assertThat(platform.counters().writes()).isZero();
    }

    @Test
    void should_report_a_conflict_with_status_3() {
      apply(rule(5));

      CtlRun run = apply(rule(6), "--if-version", "0");

      assertThat(run.exitStatus()).isEqualTo(3);
      assertThat(run.err()).contains("it is at version 1, not absent");
    }

    @Test
    void should_apply_the_output_of_get() {
      apply(rule(5));
      String shown = ctl("get", "staleness", "tablets").out();

      CtlRun changed = apply(shown.replace("5", "6"));
      CtlRun late = apply(shown.replace("5", "7"));

      assertThat(changed.out()).contains("version=2");
      assertThat(late.exitStatus()).isEqualTo(3);
    }

    @Test
    void should_detect_that_its_write_took_effect_when_the_answer_is_lost() {
      platform.changeFaults(new PlatformFaults(false, 0, 1));

      CtlRun run = apply(rule(5), "--timeout", "300");

      assertThat(run.out()).isEqualTo("applied kind=staleness name=tablets version=1\n");
      assertThat(platform.counters().writes()).isEqualTo(1);
    }

    @Test
    void should_report_an_unknown_outcome_when_there_is_no_answer() {
      platform.changeFaults(new PlatformFaults(false, 30_000, 0));

      CtlRun run = apply(rule(5), "--timeout", "100", "--if-version", "0");

      assertThat(run.exitStatus()).isEqualTo(1);
      assertThat(run.err()).contains("it is unknown whether staleness/tablets was changed");
    }

    @Test
    void should_let_one_of_several_concurrent_operators_win() throws Exception {
      apply(rule(5));
      ExecutorService operators = Executors.newFixedThreadPool(4);
      List<Callable<CtlRun>> changes =
          IntStream.range(0, 4)
              .<Callable<CtlRun>>mapToObj(i -> () -> apply(rule(10 + i), "--if-version", "1"))
              .toList();

      List<Future<CtlRun>> runs = operators.invokeAll(changes);
      operators.shutdown();

      List<Integer> statuses =
          Stream.of(runs.get(0).get(), runs.get(1).get(), runs.get(2).get(), runs.get(3).get())
              .map(CtlRun::exitStatus)
              .toList();
      assertThat(statuses).containsExactlyInAnyOrder(0, 3, 3, 3);
    }

    @Test
    void should_suggest_what_to_do_during_an_outage() {
      platform.changeFaults(new PlatformFaults(true, 0, 0));

      CtlRun run = apply(rule(5));

      assertThat(run.exitStatus()).isEqualTo(1);
      assertThat(run.err()).contains("it says that it is down", "when the platform is back");
    }
  }

  @Nested
  class Delete {
    @Test
    void should_delete_only_the_given_version() {
      apply(rule(5));

      CtlRun conflict = ctl("delete", "staleness", "tablets", "--if-version", "9");
      CtlRun deleted = ctl("delete", "staleness", "tablets", "--if-version", "1");
      CtlRun again = ctl("delete", "staleness", "tablets", "--if-version", "1");

      assertThat(conflict.exitStatus()).isEqualTo(3);
      assertThat(deleted.out()).isEqualTo("deleted kind=staleness name=tablets version=1\n");
      assertThat(again.exitStatus()).isEqualTo(1);
      assertThat(ctl("list", "staleness").out()).isEmpty();
    }

    @Test
    void should_detect_that_its_deletion_took_effect_when_the_answer_is_lost() {
      apply(rule(5));
      platform.changeFaults(new PlatformFaults(false, 0, 1));

      CtlRun run = ctl("delete", "staleness", "tablets", "--if-version", "1", "--timeout", "300");

      assertThat(run.exitStatus()).isZero();
      assertThat(platform.counters().writes()).isEqualTo(2);
    }
  }

  @Nested
  class Status {
    @Test
    void should_be_pending_until_a_controller_has_validated_the_version() {
      apply(rule(5));

      CtlRun run = ctl("status", "staleness", "tablets");

      assertThat(run.out())
          .isEqualTo("record kind=staleness name=tablets version=1 state=pending\n");
    }

    @Test
    void should_show_the_accepted_version_and_why_a_later_one_was_rejected() {
      apply(rule(5));
      apply(rule(6));
      ObjectNode accepted = Json.newObject().put("generation", 2).put("state", "rejected");
      accepted.put("specGeneration", 1);
      accepted.putArray("problems").addObject().put("field", "database").put("value", "none such");
      put(new ObjectKey("accepted", "staleness.tablets"), accepted);

      CtlRun run = ctl("status", "staleness", "tablets");

      assertThat(run.out().lines())
          .containsExactly(
              "record kind=staleness name=tablets version=2 state=rejected"
                  + " generation=2 specGeneration=1",
              "problem field=database value=\"none such\"");
    }

    @Test
    void should_show_the_promotion_of_a_database() {
      apply(
          "{\"kind\":\"databases\",\"name\":\"d\",\"spec\":{\"schemaVersion\":1,\"service\":\"s\","
              + "\"members\":[{\"id\":\"d-a\",\"address\":\"127.0.0.1:7101\","
              + "\"failureDomain\":\"f\"}],\"connectionLimit\":20,\"slots\":3}}");
      ObjectNode promotion = Json.newObject().put("term", 3).put("step", "published");
      promotion.put("primary", "d-a").put("cause", "primary-silent");
      promotion.putObject("start").put("term", 3).put("index", 17);
      put(new ObjectKey("promotions", "d"), promotion);

      CtlRun run = ctl("status", "databases", "d");

      assertThat(run.out())
          .contains(
              "promotion term=3 primary=d-a step=published cause=primary-silent"
                  + " startTerm=3 startIndex=17\n");
    }
  }

  @Nested
  class Watch {
    @Test
    void should_show_changes_and_deletions_until_it_is_interrupted() throws Exception {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
      String[] args = {"--platform", address.toString(), "watch", "staleness"};
      Thread watching = new Thread(() -> CtlMain.run(stream, stream, args));
      watching.start();

      apply(rule(5));
      ctl("delete", "staleness", "tablets", "--if-version", "1");
      while (!out.toString(StandardCharsets.UTF_8).contains("deleted")) {
        Thread.sleep(10);
      }
      watching.interrupt();
      watching.join();

      assertThat(out.toString(StandardCharsets.UTF_8))
          .endsWith("deleted kind=staleness name=tablets version=2\n");
    }
  }

  @Nested
  class Dump {
    @Test
    void should_print_the_state_of_a_process() {
      CtlRun run = CtlRun.of("dump", address.toString());

      assertThat(run.exitStatus()).isZero();
      assertThat(run.out()).contains("\"revision\" : 0");
    }

    @Test
    void should_report_a_failed_connection() {
      CtlRun run = CtlRun.of("dump", FreePorts.next().toString());

      assertThat(run.exitStatus()).isEqualTo(1);
      assertThat(run.err()).contains("there is no dump from");
    }
  }

  private CtlRun ctl(String... args) {
    return CtlRun.of(
        Stream.concat(Stream.of("--platform", address.toString()), Stream.of(args))
            .toArray(String[]::new));
  }

  private CtlRun apply(String text, String... options) {
    try {
      Path file = Files.createTempFile(directory, "record", ".json");
      Files.writeString(file, text);
      return ctl(
          Stream.concat(Stream.of("apply", "-f", file.toString()), Stream.of(options))
              .toArray(String[]::new));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void put(ObjectKey key, ObjectNode body) {
    PlatformResult result = client.write(key, 0, body, TIMEOUT_MILLIS).join();
    assertThat(result).isInstanceOf(PlatformResult.Found.class);
  }

  private static String rule(int maxAgeSeconds) {
    return RULE.formatted(maxAgeSeconds);
  }
}
