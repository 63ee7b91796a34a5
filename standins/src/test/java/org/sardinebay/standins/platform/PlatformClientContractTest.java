package org.sardinebay.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.FailureDomain;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.platform.HttpPlatformClient;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

class PlatformClientContractTest {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long SHORT_TIMEOUT_MILLIS = 300;
  private static final ObjectKey KEY = new ObjectKey("databases", "contracts-1");
  private static final ObjectNode BODY = Json.newObject().put("later", "field");
  private static final HostEntry HOST =
      new HostEntry("waco-1", new FailureDomain("waco-hall"), false);

  private final Address address = FreePorts.next();
  private PlatformServer server;
  private JsonHttpClient http;
  private PlatformClient client;

  @BeforeEach
  void start() throws IOException {
    PlatformSettings settings = new PlatformSettings(address, 200, 100, 0, List.of(HOST));
    server = PlatformServer.start(settings, Clock.system());
    http = JsonHttpClient.start("test", 1);
    client = new HttpPlatformClient(http, address, AddressTranslation.none());
  }

  @AfterEach
  void stop() {
    http.stop();
    server.shutdown();
  }

  @Nested
  class Objects {
    @Test
    void should_read_a_written_object() {
      PlatformResult written = write(KEY, 0);

      PlatformResult read = client.read(KEY, TIMEOUT_MILLIS).join();

      assertThat(written).isEqualTo(found(KEY, 1));
      assertThat(read).isEqualTo(found(KEY, 1));
    }

    @Test
    void should_return_absent_for_an_unused_name() {
      PlatformResult read = client.read(KEY, TIMEOUT_MILLIS).join();

      assertThat(read).isEqualTo(new PlatformResult.Absent());
    }

    @Test
    void should_keep_the_object_when_the_expected_version_is_not_the_current_one() {
      write(KEY, 0);

      PlatformResult created = write(KEY, 0);
      PlatformResult replaced = write(KEY, 9);

      assertThat(created).isEqualTo(new PlatformResult.Conflict(1));
      assertThat(replaced).isEqualTo(new PlatformResult.Conflict(1));
    }

    @Test
    void should_let_one_of_several_concurrent_writers_win() {
      write(KEY, 0);

      List<CompletableFuture<PlatformResult>> writes =
          List.of(1, 2, 3, 4).stream()
              .map(writer -> client.write(KEY, 1, BODY, TIMEOUT_MILLIS))
              .toList();

      assertThat(writes.stream().map(CompletableFuture::join))
          .containsExactlyInAnyOrder(
              found(KEY, 2),
              new PlatformResult.Conflict(2),
              new PlatformResult.Conflict(2),
              new PlatformResult.Conflict(2));
    }

    @Test
    void should_delete_only_the_expected_version() {
      write(KEY, 0);

      PlatformResult conflict = client.delete(KEY, 9, TIMEOUT_MILLIS).join();
      PlatformResult deleted = client.delete(KEY, 1, TIMEOUT_MILLIS).join();

      assertThat(conflict).isEqualTo(new PlatformResult.Conflict(1));
      assertThat(deleted).isEqualTo(new PlatformResult.Absent());
      assertThat(client.read(KEY, TIMEOUT_MILLIS).join()).isEqualTo(new PlatformResult.Absent());
    }

    @Test
    void should_give_a_recreated_object_a_higher_version() {
      write(KEY, 0);
      client.delete(KEY, 1, TIMEOUT_MILLIS).join();

      PlatformResult recreated = write(KEY, 0);

      assertThat(recreated).isEqualTo(found(KEY, 3));
    }

    @Test
    void should_escape_names_in_the_path() {
      ObjectKey odd = new ObjectKey("accepted", "a/b c%ü?");

      write(odd, 0);

      assertThat(client.read(odd, TIMEOUT_MILLIS).join()).isEqualTo(found(odd, 1));
    }
  }

  @Nested
  class Watches {
    @Test
    void should_list_all_objects_immediately_when_watching_from_revision_zero() {
      write(KEY, 0);
      write(new ObjectKey("proxies", "waco-1"), 0);

      PlatformResult listing = client.watch(List.of("databases"), 0, TIMEOUT_MILLIS).join();

      assertThat(listing).isEqualTo(new PlatformResult.Listing(2, List.of(object(KEY, 1))));
    }

    @Test
    void should_wait_for_the_next_change() {
      write(KEY, 0);
      CompletableFuture<PlatformResult> watch =
          client.watch(List.of("databases"), 1, TIMEOUT_MILLIS);

      write(KEY, 1);

      assertThat(watch.join()).isEqualTo(new PlatformResult.Listing(2, List.of(object(KEY, 2))));
    }

    @Test
    void should_list_deletions() {
      write(KEY, 0);
      client.delete(KEY, 1, TIMEOUT_MILLIS).join();

      PlatformResult listing = client.watch(List.of("databases"), 1, TIMEOUT_MILLIS).join();

      PlatformObject tombstone = new PlatformObject(KEY, 2, true, Json.newObject());
      assertThat(listing).isEqualTo(new PlatformResult.Listing(2, List.of(tombstone)));
    }

    @Test
    void should_return_an_empty_listing_when_the_wait_times_out() {
      write(KEY, 0);

      PlatformResult listing = client.watch(List.of("databases"), 1, 50).join();

      assertThat(listing).isEqualTo(new PlatformResult.Listing(1, List.of()));
    }
  }

  @Nested
  class Hosts {
    @Test
    void should_list_live_and_leaving_hosts() {
      admin("/admin/hosts", "{\"name\":\"a\",\"failureDomain\":\"f\",\"state\":\"leaving\"}");
      admin("/admin/hosts", "{\"name\":\"waco-1\",\"failureDomain\":\"f\",\"state\":\"gone\"}");

      PlatformResult hosts = client.hosts(TIMEOUT_MILLIS).join();

      HostEntry leaving = new HostEntry("a", new FailureDomain("f"), true);
      assertThat(hosts).isEqualTo(new PlatformResult.Hosts(3, List.of(leaving)));
    }
  }

  @Nested
  class Faults {
    @Test
    void should_return_not_sent_when_the_connection_is_refused() {
      PlatformClient unreachable =
          new HttpPlatformClient(http, FreePorts.next(), AddressTranslation.none());

      PlatformResult result = unreachable.write(KEY, 0, BODY, TIMEOUT_MILLIS).join();

      assertThat(result).isEqualTo(new PlatformResult.Failed(PlatformFailure.NOT_SENT));
    }

    @Test
    void should_be_unavailable_during_an_outage_and_keep_all_objects() {
      write(KEY, 0);

      admin("/admin/faults", "{\"outage\":true}");
      PlatformResult during = write(KEY, 1);
      admin("/admin/faults", "{\"outage\":false}");
      PlatformResult after = client.read(KEY, TIMEOUT_MILLIS).join();

      assertThat(during).isEqualTo(new PlatformResult.Failed(PlatformFailure.UNAVAILABLE));
      assertThat(after).isEqualTo(found(KEY, 1));
    }

    @Test
    void should_return_no_answer_when_the_answer_to_a_write_is_lost() {
      admin("/admin/faults", "{\"loseAnswers\":1}");

      PlatformResult lost = client.write(KEY, 0, BODY, SHORT_TIMEOUT_MILLIS).join();
      PlatformResult read = client.read(KEY, TIMEOUT_MILLIS).join();

      assertThat(lost).isEqualTo(new PlatformResult.Failed(PlatformFailure.NO_ANSWER));
      assertThat(read).isEqualTo(found(KEY, 1));
    }

    @Test
    void should_return_no_answer_when_the_answer_exceeds_the_timeout() {
      admin("/admin/faults", "{\"delayMillis\":30000}");

      PlatformResult late = client.read(KEY, SHORT_TIMEOUT_MILLIS).join();

      assertThat(late).isEqualTo(new PlatformResult.Failed(PlatformFailure.NO_ANSWER));
    }

    @Test
    void should_be_refused_above_the_rate_limit() {
      List<CompletableFuture<PlatformResult>> reads =
          IntStream.range(0, 2_000).mapToObj(i -> client.read(KEY, TIMEOUT_MILLIS)).toList();

      long refused =
          reads.stream()
              .map(CompletableFuture::join)
              .filter(new PlatformResult.Failed(PlatformFailure.RATE_LIMITED)::equals)
              .count();

      assertThat(refused).isPositive().isEqualTo(server.counters().refused());
      assertThat(server.counters().reads()).isEqualTo(2_000 - refused);
    }
  }

  private PlatformResult write(ObjectKey key, long expectedVersion) {
    return client.write(key, expectedVersion, BODY, TIMEOUT_MILLIS).join();
  }

  private void admin(String path, String body) {
    Optional<JsonNode> tree = Json.parse(body.getBytes(StandardCharsets.UTF_8));
    HttpCallResult result = http.call(HttpMethod.POST, address, path, tree, TIMEOUT_MILLIS).join();
    assertThat(((HttpCallResult.Response) result).status()).isEqualTo(200);
  }

  private static PlatformResult found(ObjectKey key, long version) {
    return new PlatformResult.Found(object(key, version));
  }

  private static PlatformObject object(ObjectKey key, long version) {
    return new PlatformObject(key, version, false, BODY);
  }
}
