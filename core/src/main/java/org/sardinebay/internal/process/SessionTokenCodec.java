package org.sardinebay.internal.process;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.Position;
import org.sardinebay.SessionToken;

/**
 * Encodes session tokens as text and decodes them. Tokens are authenticated by an HMAC-SHA256 over
 * the caller's name and the positions.
 *
 * <pre>{@code
 * String text = codec.encode(token, caller);
 * Optional<SessionToken> same = codec.decode(text, caller);
 * }</pre>
 *
 * <p>The first key signs and all keys verify. To rotate keys, append the new key to the list on
 * every host, then move it to the front, and remove the old key once no session uses it any more.
 */
public final class SessionTokenCodec {
  /** The longest text accepted, in characters. */
  public static final int MAX_LENGTH = 16_384;

  private static final String ALGORITHM = "HmacSHA256";
  private static final String SEPARATOR = ".";
  private static final int PARTS = 3;
  private static final int FIELDS = 3;

  private final String signingKey;
  private final Map<String, SecretKeySpec> keys = new LinkedHashMap<>();

  /**
   * Creates a codec.
   *
   * @param tokenKeys the keys, at least one; the first signs
   */
  public SessionTokenCodec(List<TokenKey> tokenKeys) {
    this.signingKey = tokenKeys.get(0).id();
    for (TokenKey key : tokenKeys) {
      byte[] secret = key.secret().getBytes(StandardCharsets.UTF_8);
      keys.put(key.id(), new SecretKeySpec(secret, ALGORITHM));
    }
  }

  /**
   * Encodes a token.
   *
   * @param token the token
   * @param caller the caller that the token is issued to
   * @return text of URL-safe characters
   */
  public String encode(SessionToken token, CallerId caller) {
    StringBuilder lines = new StringBuilder();
    token
        .positions()
        .forEach(
            (database, position) ->
                lines
                    .append(database)
                    .append(' ')
                    .append(position.term())
                    .append(' ')
                    .append(position.index())
                    .append('\n'));
    byte[] payload = lines.toString().getBytes(StandardCharsets.UTF_8);
    Base64.Encoder base64 = Base64.getUrlEncoder().withoutPadding();
    byte[] mac = mac(keys.get(signingKey), caller, payload);
    return String.join(
        SEPARATOR, signingKey, base64.encodeToString(payload), base64.encodeToString(mac));
  }

  /**
   * Decodes a token.
   *
   * @param text the text
   * @param caller the caller that sent it
   * @return the token, or empty if it is malformed, forged or issued to another caller
   */
  public Optional<SessionToken> decode(String text, CallerId caller) {
    String[] parts = text.length() > MAX_LENGTH ? new String[0] : text.split("\\.", PARTS + 1);
    if (parts.length != PARTS || !keys.containsKey(parts[0])) {
      return Optional.empty();
    }
    try {
      byte[] payload = Base64.getUrlDecoder().decode(parts[1]);
      byte[] expected = mac(keys.get(parts[0]), caller, payload);
      if (!MessageDigest.isEqual(expected, Base64.getUrlDecoder().decode(parts[2]))) {
        return Optional.empty();
      }
      return Optional.of(parse(new String(payload, StandardCharsets.UTF_8)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static SessionToken parse(String lines) {
    Map<DatabaseId, Position> positions = new TreeMap<>();
    for (String line : lines.split("\n", -1)) {
      String[] fields = line.split(" ", -1);
      if (fields.length == FIELDS) {
        Position position = new Position(Long.parseLong(fields[1]), Long.parseLong(fields[2]));
        positions.put(new DatabaseId(fields[0]), position);
      }
    }
    return SessionToken.of(positions);
  }

  private static byte[] mac(SecretKeySpec key, CallerId caller, byte[] payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(caller.value().getBytes(StandardCharsets.UTF_8));
      // Separates the name from the positions.
      mac.update((byte) 0);
      return mac.doFinal(payload);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("Java runtime lacks " + ALGORITHM, e);
    }
  }
}
