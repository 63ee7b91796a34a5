package org.sardinebay.internal.process;

import org.sardinebay.HostId;

/**
 * What a host has to do next for the statements of a workspace with a quota.
 *
 * @param <S> identifies a statement
 */
public sealed interface QuotaStep<S> {
  /**
   * A statement may run: it has a token.
   *
   * @param statement the statement
   * @param <S> identifies a statement
   */
  record Run<S>(S statement) implements QuotaStep<S> {}

  /**
   * A statement is refused.
   *
   * @param statement the statement
   * @param retryAfterMillis when a keeper may have a token, in milliseconds from now
   * @param <S> identifies a statement
   */
  record Refuse<S>(S statement, long retryAfterMillis) implements QuotaStep<S> {}

  /**
   * A keeper is to be asked for tokens; the result is to be reported for this instance.
   *
   * @param keeper the keeper
   * @param shard the number of its shard
   * @param wanted the number of tokens
   * @param waiting how many of the statements that wait longest the tokens are wanted for; the
   *     other tokens are asked for ahead
   * @param sentAt when the call is sent, by this host's clock, in milliseconds
   * @param <S> identifies a statement
   */
  record Ask<S>(HostId keeper, int shard, int wanted, int waiting, long sentAt)
      implements QuotaStep<S> {}
}
