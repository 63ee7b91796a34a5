package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.KeyDigest;
import org.sardinebay.session.RouteKind;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.SessionLimits;
import org.sardinebay.session.Workspace;
import org.sardinebay.session.Workspaces;

/**
 * Guards against sessions that go on, or change their workspace, after their key was withdrawn, and
 * against callers that are refused although the configuration lists their key.
 */
class CallerAccessTest {
  private static final WorkspaceId ACME = new WorkspaceId("acme");
  private static final Optional<KeyDigest> KEY = Optional.of(KeyDigest.of("k1"));
  private static final Map<String, String> ACME_HOLDS_KEY = Map.of("k1", "acme");

  private long version;

  private static DatabaseRoute route(boolean open) {
    return new DatabaseRoute("db", "service", RouteKind.PRIMARY, 0, 1_000, 500, 0, open);
  }

  private RouteTable table(boolean open, Optional<Workspaces> workspaces) {
    return new RouteTable(
        ++version, Map.of("db", route(open)), Map.of(), SessionLimits.DEFAULT, workspaces);
  }

  private RouteTable table(boolean open, Map<String, String> owners) {
    Map<WorkspaceId, Workspace> byId = new HashMap<>();
    Map<KeyDigest, WorkspaceId> byKey = new HashMap<>();
    owners.forEach(
        (key, owner) -> {
          WorkspaceId id = new WorkspaceId(owner);
          byId.put(id, new Workspace(id, 0, -1, 0));
          byKey.put(KeyDigest.of(key), id);
        });
    return table(open, Optional.of(new Workspaces(byId, byKey)));
  }

  private RouteTable withoutWorkspaces() {
    return table(false, Optional.empty());
  }

  private static CallerAccess decide(RouteTable table, Optional<KeyDigest> key) {
    return CallerAccess.of(table, table.route("db").orElseThrow(), key);
  }

  private static SessionAccess admit(RouteTable table, Optional<KeyDigest> key) {
    return SessionAccess.admit(table, table.route("db").orElseThrow(), key).orElseThrow();
  }

  @Nested
  class Start {
    @Test
    void should_be_permitted_without_a_key_if_no_workspaces_are_configured() {
      assertThat(decide(withoutWorkspaces(), Optional.empty()))
          .isEqualTo(new CallerAccess(true, Optional.empty()));
      assertThat(decide(withoutWorkspaces(), KEY))
          .isEqualTo(new CallerAccess(true, Optional.empty()));
    }

    @Test
    void should_be_permitted_with_a_known_key_for_its_workspace() {
      assertThat(decide(table(false, ACME_HOLDS_KEY), KEY))
          .isEqualTo(new CallerAccess(true, Optional.of(ACME)));
    }

    @Test
    void should_be_refused_with_a_missing_or_an_unknown_key() {
      RouteTable table = table(false, ACME_HOLDS_KEY);

      assertThat(decide(table, Optional.empty()).permitted()).isFalse();
      assertThat(decide(table, Optional.of(KeyDigest.of("k2"))).permitted()).isFalse();
      assertThat(SessionAccess.admit(table, route(false), Optional.empty())).isEmpty();
    }

    @Test
    void should_be_refused_if_the_list_of_workspaces_is_empty() {
      assertThat(decide(table(false, Map.of()), KEY).permitted()).isFalse();
    }

    @Test
    void should_be_permitted_on_an_open_route_without_a_workspace_unless_the_key_is_known() {
      RouteTable table = table(true, ACME_HOLDS_KEY);

      assertThat(decide(table, Optional.empty()))
          .isEqualTo(new CallerAccess(true, Optional.empty()));
      assertThat(decide(table, KEY).workspace()).contains(ACME);
    }
  }

  @Nested
  class NewConfiguration {
    @Test
    void should_change_nothing_while_the_workspace_holds_the_key() {
      SessionAccess access = admit(table(false, ACME_HOLDS_KEY), KEY);

      assertThat(access.check(table(false, Map.of("k1", "acme", "k2", "beta"))))
          .isEqualTo(SessionAccess.Verdict.UNCHANGED);
      assertThat(access.workspace()).contains(ACME);
    }

    @Test
    void should_withdraw_a_key_that_it_does_not_list() {
      SessionAccess access = admit(table(false, ACME_HOLDS_KEY), KEY);

      assertThat(access.check(table(false, Map.of("k2", "acme"))))
          .isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_withdraw_a_key_that_belongs_to_another_workspace_now() {
      SessionAccess access = admit(table(false, ACME_HOLDS_KEY), KEY);

      assertThat(access.check(table(false, Map.of("k1", "beta"))))
          .isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_withdraw_a_key_also_on_an_open_route() {
      SessionAccess access = admit(table(true, ACME_HOLDS_KEY), KEY);

      assertThat(access.check(table(true, Map.of()))).isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_withdraw_the_access_of_a_caller_without_a_key_if_its_route_is_not_open_any_more() {
      SessionAccess access = admit(table(true, ACME_HOLDS_KEY), Optional.empty());

      assertThat(access.check(table(false, ACME_HOLDS_KEY)))
          .isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_withdraw_the_access_of_a_caller_without_a_known_key_if_it_introduces_workspaces() {
      SessionAccess access = admit(withoutWorkspaces(), KEY);

      assertThat(access.check(table(false, Map.of("k2", "acme"))))
          .isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_identify_a_caller_whose_key_it_lists_for_the_first_time() {
      SessionAccess access = admit(withoutWorkspaces(), KEY);

      assertThat(access.check(table(false, ACME_HOLDS_KEY)))
          .isEqualTo(SessionAccess.Verdict.IDENTIFIED);
      assertThat(access.workspace()).isEmpty();
    }

    @Test
    void should_not_give_back_an_access_that_was_withdrawn() {
      SessionAccess access = admit(table(false, ACME_HOLDS_KEY), KEY);
      access.check(table(false, Map.of()));

      assertThat(access.check(table(false, ACME_HOLDS_KEY)))
          .isEqualTo(SessionAccess.Verdict.WITHDRAWN);
    }

    @Test
    void should_keep_the_route_of_a_database_that_it_removes() {
      SessionAccess access = admit(table(true, ACME_HOLDS_KEY), Optional.empty());
      RouteTable withoutRoutes =
          new RouteTable(
              ++version,
              Map.of(),
              Map.of(),
              SessionLimits.DEFAULT,
              table(true, Map.of()).workspaces());

      assertThat(access.check(withoutRoutes)).isEqualTo(SessionAccess.Verdict.UNCHANGED);
    }
  }
}
