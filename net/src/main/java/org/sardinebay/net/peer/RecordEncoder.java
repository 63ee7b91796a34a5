package org.sardinebay.net.peer;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/**
 * Encodes records for the feed and keeps the message of the newest version of each, because a
 * watcher sends the same record to many hosts. Large bodies are compressed for hosts that can read
 * that: statements and probes wait behind a body on a slow link.
 */
final class RecordEncoder {
  /** Bodies from this size on are large, in bytes: they take over 10 ms on a link of 10 Mbit/s. */
  private static final int LARGE_BYTES = 16 << 10;

  /** The largest body that is accepted, in bytes: the platform's values are smaller. */
  private static final int MAX_BODY_BYTES = 16 << 20;

  private final Map<ObjectKey, Encoded> newest = new ConcurrentHashMap<>();

  private record Encoded(long version, ConfigRecord plain, Optional<ConfigRecord> compressed) {}

  /**
   * Encodes a record.
   *
   * @param object the record
   * @param acceptsCompressed whether the receiver can read compressed bodies
   * @return the message
   */
  ConfigRecord encode(PlatformObject object, boolean acceptsCompressed) {
    Encoded encoded =
        newest.compute(
            object.key(),
            (key, known) ->
                known != null && known.version() == object.version() ? known : encode(object));
    return acceptsCompressed ? encoded.compressed().orElse(encoded.plain()) : encoded.plain();
  }

  /**
   * Whether a record has a large body.
   *
   * @param object the record
   * @return true if the receiver should fetch it only if it lacks it
   */
  boolean large(PlatformObject object) {
    return encode(object, false).getBody().size() >= LARGE_BYTES;
  }

  private static Encoded encode(PlatformObject object) {
    ConfigRecord plain = FeedCodec.toMessage(object);
    return new Encoded(
        object.version(),
        plain,
        plain.getBody().size() < LARGE_BYTES ? Optional.empty() : Optional.of(compress(plain)));
  }

  private static ConfigRecord compress(ConfigRecord plain) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      plain.getBody().writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    } finally {
      deflater.end();
    }
    return plain.toBuilder()
        .setBody(ByteString.copyFrom(bytes.toByteArray()))
        .setCompressed(true)
        .build();
  }

  /**
   * Decompresses the body of a record.
   *
   * @param message the record
   * @return the body, empty if it can't be decompressed or is too large
   */
  static Optional<byte[]> body(ConfigRecord message) {
    if (!message.getCompressed()) {
      return Optional.of(message.getBody().toByteArray());
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(message.getBody().toByteArray());
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      byte[] buffer = new byte[LARGE_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 || bytes.size() + count > MAX_BODY_BYTES) {
          return Optional.empty();
        }
        bytes.write(buffer, 0, count);
      }
      return Optional.of(bytes.toByteArray());
    } catch (DataFormatException e) {
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }
}
