package org.sardinebay.standins.endpoint;

import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointReply;

/**
 * The output of a member. The records have to be persisted before the messages are sent.
 *
 * @param records the journal records to persist
 * @param answers the replies to calls
 * @param pullAnswers the replies to replicas
 * @param pulls the requests to the primary
 */
record MemberOutput(
    List<JournalRecord> records,
    List<Answer> answers,
    List<PullAnswer> pullAnswers,
    List<Pull> pulls) {

  /**
   * A reply to a call.
   *
   * @param ticket the ticket of the call
   * @param reply the reply
   */
  record Answer(long ticket, EndpointReply reply) {}

  /**
   * A reply to a replica.
   *
   * @param ticket the ticket of the request
   * @param reply the reply
   */
  record PullAnswer(long ticket, PullReply reply) {}

  /**
   * A request to the primary.
   *
   * @param id the id to pass with the reply
   * @param address the address of the primary
   * @param request the request
   */
  record Pull(long id, Address address, PullRequest request) {}
}
