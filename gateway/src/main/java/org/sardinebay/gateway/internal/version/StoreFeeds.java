package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.impeller.ConfigurationDecoder;
import org.sardinebay.impeller.MemberEntryDecoder;
import org.sardinebay.impeller.PlatformNames;
import org.sardinebay.internal.version.MemberDirectory;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.session.MemberEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes over the configuration and the members' entries from the store. */
public final class StoreFeeds {
  private static final Logger LOG = LoggerFactory.getLogger(StoreFeeds.class);

  private final Services services;
  private final Clock clock;
  private final ConfigurationDecoder configurations = new ConfigurationDecoder();
  private final MemberEntryDecoder entries = new MemberEntryDecoder();
  private final MemberDirectory directory = new MemberDirectory();

  /**
   * Creates the feeds.
   *
   * @param services what takes the configuration and the members
   * @param clock the clock
   */
  public StoreFeeds(Services services, Clock clock) {
    this.services = services;
    this.clock = clock;
  }

  /**
   * What takes the configuration.
   *
   * @return a listener
   */
  public ObjectWatch.Listener configuration() {
    return new ObjectWatch.Listener() {
      @Override
      public void onListing(List<PlatformObject> objects) {
        onChanges(objects);
      }

      @Override
      public void onChanges(List<PlatformObject> objects) {
        objects.forEach(StoreFeeds.this::onConfiguration);
      }
    };
  }

  private void onConfiguration(PlatformObject object) {
    if (object.deleted() || !object.key().equals(PlatformNames.CONFIGURATION)) {
      return;
    }
    configurations
        .read(object.body())
        .ifPresentOrElse(
            table -> services.configure(table, "store"),
            () -> logUnreadable("configuration_unreadable", object));
  }

  /**
   * What takes the members' entries.
   *
   * @return a listener
   */
  public ObjectWatch.Listener members() {
    return new ObjectWatch.Listener() {
      @Override
      public void onListing(List<PlatformObject> objects) {
        List<MemberEntry> listed = new ArrayList<>();
        objects.forEach(object -> entry(object).ifPresent(listed::add));
        directory.replaceAll(listed, clock.millis());
        spread();
      }

      @Override
      public void onChanges(List<PlatformObject> objects) {
        objects.forEach(StoreFeeds.this::onEntry);
        spread();
      }
    };
  }

  private void onEntry(PlatformObject object) {
    Optional<MemberEntry> entry = object.deleted() ? Optional.empty() : entry(object);
    entry.ifPresentOrElse(
        directory::put, () -> directory.remove(new MemberId(object.key().name()), clock.millis()));
  }

  private Optional<MemberEntry> entry(PlatformObject object) {
    Optional<MemberEntry> entry = entries.read(object.key().name(), object.body());
    if (entry.isEmpty()) {
      logUnreadable("member_entry_unreadable", object);
    }
    return entry;
  }

  private static void logUnreadable(String event, PlatformObject object) {
    LOG.atWarn()
        .setMessage(event)
        .addKeyValue("object", object.key())
        .addKeyValue("revision", object.version())
        .log();
  }

  private void spread() {
    services.members(directory.members(clock.millis()));
  }

  /**
   * Drops entries that vanished long enough ago.
   *
   * @param now the time
   */
  public void tick(long now) {
    services.members(directory.members(now));
  }
}
