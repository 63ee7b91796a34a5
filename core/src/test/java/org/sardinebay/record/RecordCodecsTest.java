package org.sardinebay.record;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

class RecordCodecsTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Nested
  class Databases {
    private final DatabaseCodec codec = new DatabaseCodec();

    @Test
    void should_read_a_valid_record() {
      ObjectNode body = database("a", "127.0.0.1:7101", "b", "127.0.0.1:7102");

      RecordResult<DatabaseRecord> result = codec.read("contracts-1", body);

      DatabaseRecord record = valid(result);
      assertThat(record.id().value()).isEqualTo("contracts-1");
      assertThat(record.members())
          .contains(
              new MemberRecord(
                  new MemberId("b"), new Address("127.0.0.1", 7102), new FailureDomain("waco")));
      assertThat(record.slots()).isEqualTo(3);
    }

    @Test
    void should_acknowledge_by_majority_unless_the_record_names_another_policy() {
      ObjectNode body = database("a", "127.0.0.1:7101", "b", "127.0.0.1:7102");

      AckPolicyName defaultPolicy = valid(codec.read("d", body)).acknowledgement();
      body.put("acknowledgement", "primary-only");
      AckPolicyName explicitPolicy = valid(codec.read("d", body)).acknowledgement();

      assertThat(defaultPolicy).isEqualTo(AckPolicyName.MAJORITY);
      assertThat(explicitPolicy).isEqualTo(AckPolicyName.PRIMARY_ONLY);
    }

    @Test
    void should_reject_a_duplicate_member_id() {
      ObjectNode body = database("a", "127.0.0.1:7101", "a", "127.0.0.1:7102");

      RecordResult<DatabaseRecord> result = codec.read("d", body);

      assertThat(fields(result)).containsExactly("members[1].id");
    }

    @Test
    void should_reject_a_duplicate_address() {
      ObjectNode body = database("a", "127.0.0.1:7101", "b", "127.0.0.1:7101");

      RecordResult<DatabaseRecord> result = codec.read("d", body);

      assertThat(fields(result)).containsExactly("members[1].address");
    }

    @Test
    void should_report_all_invalid_fields_at_once() {
      ObjectNode body = json("{'schemaVersion':1,'members':[{'id':'a'}],'connectionLimit':0}");

      RecordResult<DatabaseRecord> result = codec.read("d", body);

      assertThat(fields(result))
          .containsExactly(
              "service",
              "members[0].address",
              "members[0].failureDomain",
              "connectionLimit",
              "slots");
    }

    @Test
    void should_reject_more_slots_than_connections() {
      ObjectNode body = database("a", "127.0.0.1:7101", "b", "127.0.0.1:7102").put("slots", 21);

      RecordResult<DatabaseRecord> result = codec.read("d", body);

      assertThat(fields(result)).containsExactly("slots");
    }

    @Test
    void should_reject_a_name_that_is_not_allowed_in_a_path() {
      ObjectNode body = database("a", "127.0.0.1:7101", "b", "127.0.0.1:7102");

      RecordResult<DatabaseRecord> result = codec.read("a/b", body);

      assertThat(fields(result)).containsExactly("name");
    }

    private ObjectNode database(String id, String address, String otherId, String otherAddress) {
      ObjectNode body =
          json("{'schemaVersion':1,'service':'contracts-db','connectionLimit':20,'slots':3}");
      body.putArray("members").add(member(id, address)).add(member(otherId, otherAddress));
      return body;
    }

    private ObjectNode member(String id, String address) {
      return json("{'failureDomain':'waco'}").put("id", id).put("address", address);
    }
  }

  @Nested
  class Proxies {
    @Test
    void should_read_a_proxy_without_a_controller() {
      ObjectNode body =
          json(
              "{'schemaVersion':1,'failureDomain':'waco',"
                  + "'callerAddress':'127.0.0.1:7001','peerAddress':'127.0.0.1:7002'}");

      RecordResult<ProxyRecord> result = new ProxyCodec().read("waco-1", body);

      assertThat(valid(result).host()).isEqualTo(new HostId("waco-1"));
      assertThat(valid(result).controllerAddress()).isEqualTo(Optional.empty());
    }
  }

  @Nested
  class Staleness {
    private final StalenessCodec codec = new StalenessCodec();

    @Test
    void should_read_equal_records_from_both_schema_versions() {
      ObjectNode versionOneBody = json("{'schemaVersion':1,'database':'*','maxAgeSeconds':5}");
      ObjectNode versionTwoBody = json("{'schemaVersion':2,'database':'*','maxAgeMillis':5000}");

      StalenessRecord fromSeconds = valid(codec.read("tablets", versionOneBody));
      StalenessRecord fromMillis = valid(codec.read("tablets", versionTwoBody));

      assertThat(fromSeconds).isEqualTo(fromMillis);
    }

    @Test
    void should_report_the_supported_schema_versions() {
      ObjectNode body = json("{'schemaVersion':3,'database':'*','maxAgeMillis':5000}");

      RecordResult<StalenessRecord> result = codec.read("tablets", body);

      assertThat(problems(result))
          .containsExactly(new FieldProblem("schemaVersion", "3", "one of [1, 2]"));
    }

    @Test
    void should_reject_a_body_with_the_fields_of_both_versions() {
      ObjectNode body =
          json("{'schemaVersion':1,'database':'*','maxAgeSeconds':5,'maxAgeMillis':1}");

      RecordResult<StalenessRecord> result = codec.read("tablets", body);

      assertThat(fields(result)).containsExactly("maxAgeMillis");
    }

    @Test
    void should_keep_unknown_fields_when_converting() {
      ObjectNode body =
          json("{'schemaVersion':1,'database':'*','maxAgeSeconds':5,'owner':{'team':'x'}}");

      ObjectNode converted = valid(codec.convert("tablets", body, 2));

      assertThat(json(converted.toString()))
          .isEqualTo(
              json("{'schemaVersion':2,'database':'*','maxAgeMillis':5000,'owner':{'team':'x'}}"));
    }

    @Test
    void should_round_the_maximum_age_down_when_converting_to_seconds() {
      ObjectNode body = json("{'schemaVersion':2,'database':'*','maxAgeMillis':5999}");

      ObjectNode converted = valid(codec.convert("tablets", body, 1));

      assertThat(json(converted.toString()))
          .isEqualTo(json("{'schemaVersion':1,'database':'*','maxAgeSeconds':5}"));
    }

    @Test
    void should_reject_conversion_to_an_unknown_version() {
      ObjectNode body = json("{'schemaVersion':2,'database':'*','maxAgeMillis':5999}");

      RecordResult<ObjectNode> result = codec.convert("tablets", body, 9);

      assertThat(fields(result)).containsExactly("schemaVersion");
    }
  }

  private static <R> R valid(RecordResult<R> result) {
    assertThat(result).isInstanceOf(RecordResult.Valid.class);
    return ((RecordResult.Valid<R>) result).value();
  }

  private static <R> List<FieldProblem> problems(RecordResult<R> result) {
    assertThat(result).isInstanceOf(RecordResult.Invalid.class);
    return ((RecordResult.Invalid<R>) result).problems();
  }

  private static <R> List<String> fields(RecordResult<R> result) {
    return problems(result).stream().map(FieldProblem::field).toList();
  }

  private static ObjectNode json(String text) {
    try {
      return (ObjectNode) MAPPER.readTree(text.replace('\'', '"'));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
