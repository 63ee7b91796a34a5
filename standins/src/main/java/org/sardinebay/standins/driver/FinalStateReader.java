package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;

/** Reads every list of a history directly from the primary of its database, without a proxy. */
final class FinalStateReader implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final int MAX_ATTEMPTS = 20;

  private final Deployment deployment;
  private final JsonHttpClient http = JsonHttpClient.start("final-state", 1);

  FinalStateReader(Deployment deployment) {
    this.deployment = deployment;
  }

  /**
   * Reads all databases. Tries up to 20 times per database, 1 s apart, while it has no primary or
   * its primary does not respond.
   *
   * @throws IOException if the last try fails
   */
  FinalState read(History history) throws IOException, InterruptedException {
    Map<FinalState.ListName, List<String>> lists = new HashMap<>();
    for (DeploymentSpec.Database database : deployment.spec().databases()) {
      Set<String> keys = keys(history, database.id());
      for (int attempt = 1; ; attempt++) {
        try {
          lists.putAll(read(database.id(), keys));
          break;
        } catch (IOException e) {
          if (attempt == MAX_ATTEMPTS) {
            throw e;
          }
          TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
      }
    }
    return new FinalState(Map.copyOf(lists));
  }

  private Map<FinalState.ListName, List<String>> read(String database, Set<String> keys)
      throws IOException {
    String primary =
        deployment
            .primary(database)
            .orElseThrow(() -> new IOException(database + " has no primary"));
    Address member = deployment.topology().node(primary).listen();
    Map<FinalState.ListName, List<String>> lists = new HashMap<>();
    String connection = openConnection(member);
    for (String key : keys) {
      lists.put(new FinalState.ListName(database, key), readList(member, connection, key));
    }
    call(member, "/v1/close", Json.newObject().put("connection", connection));
    return lists;
  }

  @Override
  public void close() {
    http.stop();
  }

  private static Set<String> keys(History history, String database) {
    Set<String> keys = new HashSet<>();
    for (Operation.Write write : history.writes()) {
      if (write.attempts().get(0).database().equals(database)) {
        keys.add(write.key());
      }
    }
    for (Operation.Transaction transaction : history.transactions()) {
      if (transaction.statements().get(0).database().equals(database)) {
        keys.add(Keys.first(transaction.pair()));
        keys.add(Keys.second(transaction.pair()));
      }
    }
    return keys;
  }

  private String openConnection(Address member) throws IOException {
    return call(member, "/v1/open", Json.newObject().put("client", "final-state"))
        .path("connection")
        .asText();
  }

  private List<String> readList(Address member, String connection, String key) throws IOException {
    ObjectNode read =
        Json.newObject()
            .put("connection", connection)
            .put("kind", "read")
            .put("statement", "get " + key)
            .put("term", 0)
            .put("maxWaitMillis", 0)
            .put("deadlineMillis", TIMEOUT_MILLIS);
    read.putObject("least").put("term", 0).put("index", 0);
    List<String> rows = new ArrayList<>();
    call(member, "/v1/execute", read).path("rows").forEach(row -> rows.add(row.asText()));
    return List.copyOf(rows);
  }

  private JsonNode call(Address member, String path, ObjectNode body) throws IOException {
    body.put("correlation", "final").put("member", "");
    HttpCallResult result =
        http.call(HttpMethod.POST, member, path, Optional.of(body), TIMEOUT_MILLIS).join();
    if (result instanceof HttpCallResult.Response response
        && response.body().path("status").asText().equals("done")) {
      return response.body();
    }
    throw new IOException(path + " at " + member + " failed: " + result);
  }
}
