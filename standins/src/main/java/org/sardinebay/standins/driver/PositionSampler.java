package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;

/**
 * Records the applied index of every member over time, read directly from the members every 20 ms.
 */
final class PositionSampler implements AutoCloseable {
  private static final long PERIOD_MILLIS = 20;
  private static final long TIMEOUT_MILLIS = 200;

  private final Topology topology;
  private final Clock clock;
  private final JsonHttpClient http = JsonHttpClient.start("positions", 1);
  private final Map<String, NavigableMap<Long, Long>> appliedByMember = new ConcurrentHashMap<>();
  private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();

  private PositionSampler(Topology topology, Clock clock) {
    this.topology = topology;
    this.clock = clock;
  }

  static PositionSampler start(Topology topology, Clock clock) {
    PositionSampler sampler = new PositionSampler(topology, clock);
    for (Node member : topology.nodes(ProcessKind.ENDPOINT)) {
      sampler.appliedByMember.put(member.name(), new ConcurrentSkipListMap<>());
    }
    var unused =
        sampler.poller.scheduleAtFixedRate(
            sampler::sampleAll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    return sampler;
  }

  /** Returns the index that a member had applied at a time on the driver's clock; -1 if unknown. */
  long appliedAt(String member, long millis) {
    Map.Entry<Long, Long> entry = appliedByMember.get(member).floorEntry(millis);
    return entry == null ? -1 : entry.getValue();
  }

  @Override
  public void close() {
    poller.shutdownNow();
    http.stop();
  }

  private void sampleAll() {
    JsonNode body =
        Json.newObject()
            .put("correlation", "sample")
            .put("member", "")
            .put("term", 0)
            .put("afterIndex", 0)
            .put("waitMillis", 0);
    for (Node member : topology.nodes(ProcessKind.ENDPOINT)) {
      var unused =
          http.call(
                  HttpMethod.POST,
                  member.listen(),
                  "/v1/progress",
                  Optional.of(body),
                  TIMEOUT_MILLIS)
              .thenAccept(result -> recordPosition(member.name(), result));
    }
  }

  private void recordPosition(String member, HttpCallResult result) {
    if (result instanceof HttpCallResult.Response response) {
      long index = response.body().path("applied").path("index").asLong(-1);
      appliedByMember.get(member).put(clock.millis(), index);
    }
  }
}
