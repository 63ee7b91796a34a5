package org.sardinebay.record;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;

class FieldReaderTest {
  private final ObjectNode settings = JsonNodeFactory.instance.objectNode();
  private final FieldReader reader = FieldReader.of(settings);

  @Nested
  class Addresses {
    @Test
    void should_be_read_from_a_list() {
      settings.putArray("seeds").add("127.0.0.1:7000");

      assertThat(reader.addresses("seeds")).containsExactly(new Address("127.0.0.1", 7000));
      assertThat(reader.problems()).isEmpty();
    }

    @Test
    void should_be_empty_if_the_field_is_absent() {
      assertThat(reader.addresses("seeds")).isEmpty();
      assertThat(reader.problems()).isEmpty();
    }

    @Test
    void should_not_be_taken_as_empty_if_the_field_is_a_text() {
      settings.put("seeds", "127.0.0.1:7000");

      reader.addresses("seeds");

      assertThat(reader.problems()).hasSize(1);
    }
  }
}
