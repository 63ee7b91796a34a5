package org.sardinebay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinebay.FailureDomain;
import org.sardinebay.record.FieldReader;

/**
 * Parses and formats the host list as JSON.
 *
 * <pre>{@code
 * Optional<List<HostEntry>> hosts = HostListCodec.read(body);
 * }</pre>
 */
public final class HostListCodec {
  /** The key of the host list in the configuration feed. */
  public static final ObjectKey FEED_KEY = new ObjectKey("hosts", "all");

  private static final String LIVE = "live";
  private static final String LEAVING = "leaving";

  private HostListCodec() {}

  /**
   * Parses the host list. A host in any state other than {@code live} is leaving.
   *
   * @param body an object with the field {@code hosts}
   * @return the hosts, or empty if the body can't be parsed
   */
  public static Optional<List<HostEntry>> read(JsonNode body) {
    FieldReader reader = FieldReader.of(body);
    if (!reader.has("hosts")) {
      return Optional.empty();
    }
    List<HostEntry> hosts = new ArrayList<>();
    for (FieldReader host : reader.objects("hosts", 0)) {
      FailureDomain failureDomain = new FailureDomain(host.text("failureDomain"));
      boolean leaving = !host.text("state").equals(LIVE);
      hosts.add(new HostEntry(host.text("name"), failureDomain, leaving));
    }
    return reader.problems().isEmpty() ? Optional.of(List.copyOf(hosts)) : Optional.empty();
  }

  /**
   * Formats the host list.
   *
   * @param hosts the hosts
   * @return an object with the field {@code hosts}
   */
  public static ObjectNode write(List<HostEntry> hosts) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode list = body.putArray("hosts");
    for (HostEntry host : hosts) {
      list.addObject()
          .put("name", host.name())
          .put("failureDomain", host.failureDomain().value())
          .put("state", host.leaving() ? LEAVING : LIVE);
    }
    return body;
  }
}
