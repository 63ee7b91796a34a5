package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;

/** Reads directly from one member, as the baseline for the latency that the proxies add. */
final class DirectCaller implements AutoCloseable, Runnable {
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long PAUSE_MILLIS = 10;
  private static final long MAX_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Address member;
  private final JsonHttpClient http = JsonHttpClient.start("direct", 1);
  private final Histogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private volatile boolean stopped;

  DirectCaller(Address member) {
    this.member = member;
  }

  Histogram latencyMicros() {
    return latencyMicros;
  }

  @Override
  public void run() {
    String connection = "";
    while (!stopped) {
      if (connection.isEmpty()) {
        connection =
            call("/v1/open", Json.newObject().put("client", "direct"))
                .map(reply -> reply.path("connection").asText())
                .orElse("");
      }
      long startNanos = System.nanoTime();
      if (call("/v1/execute", read(connection)).isPresent()) {
        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
        latencyMicros.recordValue(Math.min(micros, MAX_MICROS));
      } else {
        connection = "";
      }
      pause();
    }
  }

  @Override
  public void close() {
    stopped = true;
    http.stop();
  }

  private static ObjectNode read(String connection) {
    ObjectNode read =
        Json.newObject()
            .put("connection", connection)
            .put("kind", "read")
            .put("statement", "get direct")
            .put("term", 0)
            .put("maxWaitMillis", 0)
            .put("deadlineMillis", TIMEOUT_MILLIS);
    read.putObject("least").put("term", 0).put("index", 0);
    return read;
  }

  private Optional<JsonNode> call(String path, ObjectNode body) {
    body.put("correlation", "direct").put("member", "");
    HttpCallResult result =
        http.call(HttpMethod.POST, member, path, Optional.of(body), TIMEOUT_MILLIS).join();
    if (result instanceof HttpCallResult.Response response
        && response.body().path("status").asText().equals("done")) {
      return Optional.of(response.body());
    }
    return Optional.empty();
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
