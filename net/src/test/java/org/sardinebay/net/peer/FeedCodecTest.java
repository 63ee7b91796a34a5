package org.sardinebay.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformObject;

class FeedCodecTest {
  private static final ObjectKey KEY = new ObjectKey("servers", "m-1");
  private static final long VERSION = ObjectVersion.of(2, 412);

  private final PlatformObject object =
      new PlatformObject(KEY, VERSION, false, Json.newObject().put("state", "ready"));

  @Test
  void should_keep_the_era_of_records_and_of_versions() {
    assertThat(FeedCodec.toObject(FeedCodec.toMessage(object))).contains(object);
    ConfigCall call =
        ConfigCall.newBuilder().addAllApplied(FeedCodec.toMessages(Map.of(KEY, VERSION))).build();
    assertThat(FeedCodec.versions(call)).containsExactly(Map.entry(KEY, VERSION));
  }

  @Test
  void should_send_bare_revisions_to_hosts_that_know_no_era() {
    assertThat(FeedCodec.toMessage(object).getVersion()).isEqualTo(412);
  }

  @Test
  void should_not_read_a_record_without_a_version() {
    ConfigRecord record = FeedCodec.toMessage(object).toBuilder().clearVersion().clearEra().build();

    assertThat(FeedCodec.toObject(record)).isEmpty();
  }
}
