package org.sardinebay.gateway.internal.request;

import java.util.Map;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberLink;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.request.PlacementNeed;

/** A statement, or the first of a transaction, that needs a link to a member. */
public interface Placeable {
  /**
   * What it needs now.
   *
   * @return the need
   */
  PlacementNeed need();

  /**
   * The session's values; a link that holds them already is preferred.
   *
   * @return the values
   */
  Map<String, String> values();

  /**
   * Members that it must not go to.
   *
   * @return their ids
   */
  Set<MemberId> excluded();

  /**
   * Its priority.
   *
   * @return 0 is served first
   */
  int priority();

  /**
   * When waiting for a place is of no use any more.
   *
   * @return the time
   */
  long giveUpAt();

  /**
   * A link was lent to it.
   *
   * @param pool where the link goes back to
   * @param link the link
   * @param need what the choice was made for
   * @param asPrimary whether the member was chosen as the primary, by its lease
   */
  void onLink(MemberPool pool, MemberLink link, PlacementNeed need, boolean asPrimary);

  /** No link was found in time. */
  void onNoPlace();
}
