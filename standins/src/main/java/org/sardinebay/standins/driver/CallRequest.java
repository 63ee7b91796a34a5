package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.net.http.Json;
import org.sardinebay.record.FieldReader;

/**
 * A request of a caller, without the session token.
 *
 * @param kind the kind of request
 * @param database the database
 * @param statement the statement for the endpoint, empty if the kind needs none
 * @param maxAgeMillis for reads: the maximum age in milliseconds; empty for a read that only has to
 *     show what its session wrote and read
 * @param repeatable whether the request may run more than once
 * @param idempotencyKey the idempotency key of a write or commit, else empty
 * @param transaction the name of the open transaction; empty outside a transaction
 */
record CallRequest(
    CallKind kind,
    String database,
    String statement,
    OptionalLong maxAgeMillis,
    boolean repeatable,
    Optional<String> idempotencyKey,
    Optional<String> transaction) {

  static CallRequest read(String database, String key, OptionalLong maxAgeMillis) {
    return new CallRequest(
        CallKind.READ,
        database,
        "get " + key,
        maxAgeMillis,
        false,
        Optional.empty(),
        Optional.empty());
  }

  static CallRequest append(
      String database, String key, String value, boolean repeatable, String idempotencyKey) {
    return new CallRequest(
        CallKind.WRITE,
        database,
        "append " + key + " " + value,
        OptionalLong.empty(),
        repeatable,
        Optional.of(idempotencyKey),
        Optional.empty());
  }

  static CallRequest begin(String database) {
    return new CallRequest(
        CallKind.BEGIN,
        database,
        "",
        OptionalLong.empty(),
        false,
        Optional.empty(),
        Optional.empty());
  }

  static CallRequest inTransaction(
      CallKind kind,
      String database,
      String statement,
      String transaction,
      Optional<String> idempotencyKey) {
    return new CallRequest(
        kind,
        database,
        statement,
        OptionalLong.empty(),
        false,
        idempotencyKey,
        Optional.of(transaction));
  }

  ObjectNode body(String caller, Optional<String> token, long timeoutMillis) {
    ObjectNode body =
        Json.newObject()
            .put("caller", caller)
            .put("database", database)
            .put("kind", FieldReader.jsonName(kind))
            .put("timeoutMillis", timeoutMillis);
    if (!statement.isEmpty()) {
      body.put("statement", statement);
    }
    if (kind == CallKind.WRITE) {
      body.put("repeatable", repeatable);
    }
    token.ifPresent(text -> body.put("sessionToken", text));
    maxAgeMillis.ifPresent(millis -> body.put("maxAgeMillis", millis));
    idempotencyKey.ifPresent(key -> body.put("idempotencyKey", key));
    transaction.ifPresent(name -> body.put("transaction", name));
    return body;
  }
}
