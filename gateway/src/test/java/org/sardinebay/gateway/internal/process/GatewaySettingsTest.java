package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.Address;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

class GatewaySettingsTest {
  private static ObjectNode complete() {
    ObjectNode settings =
        Json.newObject()
            .put("host", "host-1")
            .put("failureDomain", "hall-1")
            .put("ip", "10.0.0.1")
            .put("metricsPort", 9464)
            .put("callers", "10.0.0.1:7000")
            .put("readiness", "10.0.0.1:7001")
            .put("peers", "10.0.0.1:7002")
            .put("store", "10.0.9.1:80")
            .put("promotions", "10.0.9.2:80")
            .put("shutdownSeconds", 12);
    settings.putArray("seeds").add("10.0.0.2:7002");
    return settings;
  }

  private static GatewaySettings read(ObjectNode tree) {
    FieldReader reader = FieldReader.of(tree);
    GatewaySettings settings = GatewaySettings.read(reader);
    assertThat(reader.problems()).isEmpty();
    return settings;
  }

  @Nested
  class Host {
    /** Guards against a name that adds words or a line to the message that opens a connection. */
    @ParameterizedTest
    @ValueSource(strings = {" ", "two words", "line\r\nend", "line\n", "tab\t", "n\u00e4me"})
    void should_be_refused_if_it_is_not_one_word(String name) {
      FieldReader reader = FieldReader.of(complete().put("host", name));
      GatewaySettings unused = GatewaySettings.read(reader);

      assertThat(reader.problems()).hasSize(1);
    }
  }

  @Nested
  class Quota {
    @Test
    void should_have_defaults() {
      assertThat(read(complete()).quotaRule()).isEqualTo(new QuotaRule(5_000, 0.1, 20));
    }

    @Test
    void should_be_read_from_whole_numbers_and_fractions() {
      ObjectNode settings = complete().put("quotaWindowSeconds", 2.5);
      settings.put("quotaOverrun", 0.25).put("quotaSlack", 7);

      assertThat(read(settings).quotaRule()).isEqualTo(new QuotaRule(2_500, 0.25, 7));
    }

    /** Guards against a rule that permits nothing or everything because of a wrong setting. */
    @Test
    void should_refuse_values_out_of_range() {
      ObjectNode settings = complete().put("quotaWindowSeconds", 0).put("quotaOverrun", -1);
      FieldReader reader = FieldReader.of(settings.put("quotaSlack", "20"));
      GatewaySettings unused = GatewaySettings.read(reader);

      assertThat(reader.problems()).hasSize(3);
    }
  }

  @Nested
  class Reloaded {
    @Test
    void should_apply_seeds_and_shutdown_times() {
      ObjectNode changed = complete().put("shutdownSeconds", 20).put("balancerNoticesMillis", 900);
      changed.putArray("seeds").add("10.0.0.3:7002");

      GatewaySettings settings = read(complete()).reloaded(read(changed));

      assertThat(settings).isEqualTo(read(changed));
      assertThat(settings.seeds()).containsExactly(new Address("10.0.0.3", 7002));
    }

    @Test
    void should_keep_what_needs_a_restart() {
      GatewaySettings before = read(complete());

      assertThat(before.reloaded(read(complete().put("callers", "10.0.0.1:9000"))))
          .isEqualTo(before);
    }
  }

  /**
   * A wrong value must be reported as a problem; an exception would end the start or the reload.
   */
  @Property
  void should_be_read_or_rejected_with_one_field_of_any_kind(
      @ForAll("fields") String field, @ForAll("values") JsonNode value) {
    ObjectNode tree = complete();
    tree.set(field, value);
    FieldReader reader = FieldReader.of(tree);

    GatewaySettings settings = GatewaySettings.read(reader);

    assertThat(settings != null || !reader.problems().isEmpty()).isTrue();
  }

  @Provide
  Arbitrary<String> fields() {
    return Arbitraries.of(
        "host",
        "failureDomain",
        "regions",
        "ip",
        "metricsPort",
        "callers",
        "readiness",
        "peers",
        "seeds",
        "store",
        "promotions",
        "shutdownSeconds",
        "balancerNoticesMillis");
  }

  @Provide
  Arbitrary<JsonNode> values() {
    ObjectNode nodes = Json.newObject();
    return Arbitraries.oneOf(
        Arbitraries.of("", " ", ":80", "10.0.0.1:0", "10.0.0.1:99999", "x").map(nodes::textNode),
        Arbitraries.longs().map(nodes::numberNode),
        Arbitraries.of(0.5, Double.NaN, 1e300).map(nodes::numberNode),
        Arbitraries.of(true, false).map(nodes::booleanNode),
        Arbitraries.create(nodes::nullNode),
        Arbitraries.create(() -> Json.newObject().put("", "r1")),
        Arbitraries.create(() -> Json.newObject().put("hall-1", 7)),
        Arbitraries.create(() -> nodes.arrayNode().add("").add(7).addNull()));
  }
}
