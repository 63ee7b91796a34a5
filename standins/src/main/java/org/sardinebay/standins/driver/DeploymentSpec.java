package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/**
 * The description of a deployment, read from a file under {@code deploy/}.
 *
 * <pre>{@code
 * DeploymentSpec spec = DeploymentSpec.load(Path.of("deploy/brazos.json"));
 * }</pre>
 *
 * @param name the name of the deployment
 * @param service the database service
 * @param callerPrefix the prefix of the callers' names
 * @param domains the failure domains
 * @param databases the databases
 * @param connectionLimit the maximum number of connections to one member
 * @param slots the maximum number of statements that one member runs concurrently
 * @param openMillis how long a member takes to open a connection, in milliseconds
 * @param latency the one-way network delays
 * @param staleness the initial staleness records
 */
public record DeploymentSpec(
    String name,
    String service,
    String callerPrefix,
    List<Domain> domains,
    List<Database> databases,
    int connectionLimit,
    int slots,
    int openMillis,
    Latency latency,
    List<NamedSpec> staleness) {
  private static final long MAX_NUMBER = 10_000;

  /**
   * A failure domain.
   *
   * @param name the name of the failure domain
   * @param region the region that it belongs to
   * @param hosts the names of its entry hosts
   */
  public record Domain(String name, String region, List<String> hosts) {}

  /**
   * A database.
   *
   * @param id the name of the database
   * @param members the members of the database
   */
  public record Database(String id, List<Member> members) {}

  /**
   * A member of a database.
   *
   * @param id the name of the member
   * @param domain the name of its failure domain
   */
  public record Member(String id, String domain) {}

  /**
   * One-way network delays, in milliseconds.
   *
   * @param withinRegionMillis between processes of one region, and between controllers and the
   *     platform
   * @param betweenRegionsMillis between processes of two regions
   * @param clientMillis between a caller and a proxy or member
   */
  public record Latency(long withinRegionMillis, long betweenRegionsMillis, long clientMillis) {}

  /**
   * A named configuration record.
   *
   * @param name the name of the record
   * @param spec the body of the record
   */
  public record NamedSpec(String name, ObjectNode spec) {}

  /**
   * Reads a deployment file.
   *
   * @param file JSON with comments
   * @return the deployment
   * @throws IOException if the file can't be read, is not valid JSON or has an unknown or invalid
   *     field
   */
  public static DeploymentSpec load(Path file) throws IOException {
    FieldReader reader = FieldReader.of(Json.parseWithComments(Files.readString(file)));
    DeploymentSpec spec = read(reader);
    reader.rejectUnknownFields();
    if (!reader.problems().isEmpty()) {
      throw new IOException(file + ": " + reader.problems().get(0));
    }
    return spec;
  }

  private static DeploymentSpec read(FieldReader reader) {
    FieldReader latency = reader.object("latency");
    return new DeploymentSpec(
        reader.text("name"),
        reader.text("service"),
        reader.text("callerPrefix"),
        reader.objects("failureDomains", 1).stream().map(DeploymentSpec::domain).toList(),
        reader.objects("databases", 1).stream().map(DeploymentSpec::database).toList(),
        (int) reader.number("connectionLimit", 1, MAX_NUMBER),
        (int) reader.number("slots", 1, MAX_NUMBER),
        (int) reader.number("openMillis", 0, MAX_NUMBER),
        new Latency(
            latency.number("withinRegionMillis", 0, MAX_NUMBER),
            latency.number("betweenRegionsMillis", 0, MAX_NUMBER),
            latency.number("clientMillis", 0, MAX_NUMBER)),
        reader.objects("staleness", 0).stream().map(DeploymentSpec::named).toList());
  }

  private static Domain domain(FieldReader reader) {
    return new Domain(
        reader.text("name"),
        reader.text("region"),
        reader.objects("hosts", 1).stream().map(host -> host.text("name")).toList());
  }

  private static Database database(FieldReader reader) {
    return new Database(
        reader.text("id"),
        reader.objects("members", 1).stream()
            .map(member -> new Member(member.text("id"), member.text("failureDomain")))
            .toList());
  }

  private static NamedSpec named(FieldReader reader) {
    return new NamedSpec(reader.text("name"), reader.object("spec").tree());
  }

  String regionOf(String domain) {
    return domains.stream()
        .filter(candidate -> candidate.name().equals(domain))
        .map(Domain::region)
        .findFirst()
        .orElse(domain);
  }
}
