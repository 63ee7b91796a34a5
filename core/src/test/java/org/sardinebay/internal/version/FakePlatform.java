package org.sardinebay.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/** A fake platform that stores a single object. */
final class FakePlatform {
  private long version;
  private ObjectNode body;

  Optional<PromotionRecord> record() {
    return Optional.ofNullable(body).flatMap(PromotionRecord::read);
  }

  PlatformResult read(ObjectKey key) {
    return body == null
        ? new PlatformResult.Absent()
        : new PlatformResult.Found(new PlatformObject(key, version, false, body));
  }

  PlatformResult write(PromotionEffect.WriteObject write) {
    if (write.expectedVersion() != version) {
      return new PlatformResult.Conflict(version);
    }
    version++;
    body = write.record().body();
    return read(write.key());
  }
}
