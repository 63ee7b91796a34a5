package org.sardinebay.standins.endpoint;

import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointReply;

/**
 * What a member wants done: first the records kept, then the rest sent.
 *
 * @param records what to keep
 * @param answers replies to calls
 * @param pullAnswers replies to replicas
 * @param pulls requests to the primary
 */
record MemberOutput(
    List<JournalRecord> records,
    List<Answer> answers,
    List<PullAnswer> pullAnswers,
    List<Pull> pulls) {

  /**
   * A reply to a call.
   *
   * @param ticket the call's ticket
   * @param reply the reply
   */
  record Answer(long ticket, EndpointReply reply) {}

  /**
   * A reply to a replica.
   *
   * @param ticket the request's ticket
   * @param reply the reply
   */
  record PullAnswer(long ticket, PullReply reply) {}

  /**
   * A request to the primary.
   *
   * @param id names the request when its reply arrives
   * @param address the primary's address
   * @param request the request
   */
  record Pull(long id, Address address, PullRequest request) {}
}
