package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;
import org.sardinebay.standins.relay.LinkSettings;

class TopologyTest {
  private static final Path DEPLOYMENTS = Path.of("..", "deploy");

  @TempDir private Path folder;
  private DeploymentSpec spec;
  private Topology topology;

  @BeforeEach
  void allocate() throws IOException {
    spec = DeploymentSpec.load(DEPLOYMENTS.resolve("brazos.json"));
    topology = Topology.allocate(spec, FreePorts::next);
  }

  @Nested
  class DeploymentFiles {
    @ParameterizedTest
    @ValueSource(strings = {"brazos.json", "pelikula.json"})
    void should_describe_six_hosts_and_nine_members(String file) throws IOException {
      DeploymentSpec loaded = DeploymentSpec.load(DEPLOYMENTS.resolve(file));

      assertThat(loaded.domains().stream().mapToInt(domain -> domain.hosts().size()).sum())
          .isEqualTo(6);
      assertThat(loaded.databases().stream().mapToInt(database -> database.members().size()).sum())
          .isEqualTo(9);
    }
  }

  @Nested
  class Links {
    @Test
    void should_delay_links_between_regions_by_eight_milliseconds() {
      LinkSettings link = link("waco-1", "contracts-1-b");

      assertThat(link.delayMillis()).isEqualTo(8);
    }

    @Test
    void should_delay_links_within_a_region_by_one_millisecond() {
      LinkSettings link = link("waco-1", "contracts-1-a");

      assertThat(link.delayMillis()).isEqualTo(1);
    }

    @Test
    void should_link_the_controller_but_not_the_proxy_of_a_host_to_the_platform() {
      assertThat(link("waco-1", "platform")).isNull();
      assertThat(link("waco-1-controller", "platform")).isNotNull();
    }

    @Test
    void should_give_each_link_its_own_port() {
      assertThat(topology.links()).extracting(LinkSettings::listen).doesNotHaveDuplicates();
    }
  }

  @Nested
  class Settings {
    @Test
    void should_route_a_proxy_s_connections_to_a_member_through_the_link() throws IOException {
      SettingsWriter writer = new SettingsWriter(spec, topology, folder);

      Path file = writer.write(topology.node("waco-1"));

      JsonNode translation =
          Json.parseWithComments(Files.readString(file)).path("addressTranslation");
      assertThat(translation)
          .anySatisfy(
              entry -> {
                LinkSettings link = link("waco-1", "contracts-1-a");
                assertThat(entry.path("from").asText()).isEqualTo(link.forward().toString());
                assertThat(entry.path("to").asText()).isEqualTo(link.listen().toString());
              });
    }

    @Test
    void should_list_only_the_controllers_of_the_proxy_s_failure_domain() throws IOException {
      SettingsWriter writer = new SettingsWriter(spec, topology, folder);

      Path file = writer.write(topology.node("waco-1"));

      JsonNode controllers = Json.parseWithComments(Files.readString(file)).path("controllers");
      assertThat(controllers)
          .extracting(JsonNode::asText)
          .containsExactly(
              link("waco-1", "waco-1-controller").listen().toString(),
              link("waco-1", "waco-2-controller").listen().toString());
    }
  }

  private LinkSettings link(String source, String target) {
    return topology.linksFrom(source).stream()
        .filter(link -> link.target().equals(target))
        .findFirst()
        .orElse(null);
  }
}
