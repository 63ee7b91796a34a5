package org.sardinebay.record;

import java.util.List;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * Reads records of kind {@code proxies}.
 *
 * <pre>{@code
 * RecordResult<ProxyRecord> result = new ProxyCodec().read("waco-1", body);
 * }</pre>
 */
public final class ProxyCodec extends AbstractRecordCodec<ProxyRecord> {
  /** The kind of proxy records. */
  public static final String KIND = "proxies";

  /** Creates the codec. */
  public ProxyCodec() {
    super(KIND, List.of(1));
  }

  @Override
  ProxyRecord read(String name, int schemaVersion, FieldReader reader) {
    return new ProxyRecord(
        new HostId(name),
        new FailureDomain(reader.text("failureDomain")),
        reader.address("callerAddress"),
        reader.address("peerAddress"),
        reader.optionalAddress("controllerAddress"));
  }
}
