package org.sardinebay.records;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.ctl.CtlRun;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;
import org.sardinebay.standins.platform.PlatformServer;
import org.sardinebay.standins.platform.PlatformSettings;

/** Step definitions for the scenarios about records. */
public class RecordSteps {
  private static final String RECORD = "{\"kind\":\"staleness\",\"name\":\"%s\",\"spec\":%s}";
  private static final String RULE =
      "{\"schemaVersion\":1,\"database\":\"contracts-1\",\"maxAgeSeconds\":%d}";

  private final Address address = FreePorts.next();
  private final List<Path> files = new ArrayList<>();
  private PlatformServer platform;
  private CtlRun run;
  private List<CtlRun> concurrentRuns;

  @Before
  public void startPlatform() throws IOException {
    platform = PlatformServer.start(PlatformSettings.of(address, List.of()), Clock.system());
  }

  @After
  public void stopPlatform() throws IOException {
    platform.shutdown();
    for (Path file : files) {
      Files.delete(file);
    }
  }

  @Given("an operator applied the staleness rule {string}:")
  public void applied(String name, String spec) throws IOException {
    assertThat(apply(name, spec).exitStatus()).isZero();
  }

  @When("an operator applies the staleness rule {string}:")
  public void applies(String name, String spec) throws IOException {
    run = apply(name, spec);
  }

  @When("the operator reads {string} in schema version {int}")
  public void reads(String name, int schemaVersion) {
    run = ctl("get", "staleness", name, "--schema", Integer.toString(schemaVersion));
  }

  @When("two operators replace version {long} of {string} at once")
  public void replaceAtOnce(long version, String name) throws Exception {
    ExecutorService operators = Executors.newFixedThreadPool(2);
    Path first = file(name, RULE.formatted(10));
    Path second = file(name, RULE.formatted(20));
    String expected = Long.toString(version);
    List<Callable<CtlRun>> changes =
        List.of(
            () -> ctl("apply", "-f", first.toString(), "--if-version", expected),
            () -> ctl("apply", "-f", second.toString(), "--if-version", expected));
    List<Future<CtlRun>> runs = operators.invokeAll(changes);
    operators.shutdown();
    concurrentRuns = List.of(runs.get(0).get(), runs.get(1).get());
  }

  @Then("the record has {string} {long}")
  public void recordHas(String field, long value) {
    assertThat(spec().path(field).asLong()).isEqualTo(value);
  }

  @Then("the command ends with status {int}")
  public void endsWith(int status) {
    assertThat(run.exitStatus()).isEqualTo(status);
  }

  @Then("the error says {string}")
  public void errorSays(String text) {
    assertThat(run.err()).contains(text);
  }

  @Then("the platform holds no staleness rule")
  public void holdsNone() {
    assertThat(ctl("list", "staleness").out()).isEmpty();
  }

  @Then("one command ends with status {int} and the other with status {int}")
  public void oneEndsWith(int status, int otherStatus) {
    assertThat(concurrentRuns)
        .extracting(CtlRun::exitStatus)
        .containsExactlyInAnyOrder(status, otherStatus);
  }

  @Then("the record is the one of the operator whose command succeeded")
  public void recordIsFromSuccessfulOperator() {
    run = ctl("get", "staleness", "tablets");
    long expected = concurrentRuns.get(0).exitStatus() == 0 ? 10 : 20;

    assertThat(spec().path("maxAgeSeconds").asLong()).isEqualTo(expected);
  }

  private JsonNode spec() {
    assertThat(run.exitStatus()).isZero();
    return Json.parse(run.out().getBytes(StandardCharsets.UTF_8)).orElseThrow().path("spec");
  }

  private CtlRun apply(String name, String spec) throws IOException {
    return ctl("apply", "-f", file(name, spec).toString());
  }

  private Path file(String name, String spec) throws IOException {
    Path file = Files.createTempFile("record", ".json");
    files.add(file);
    return Files.writeString(file, RECORD.formatted(name, spec));
  }

  private CtlRun ctl(String... args) {
    return CtlRun.of(
        Stream.concat(Stream.of("--platform", address.toString()), Stream.of(args))
            .toArray(String[]::new));
  }
}
