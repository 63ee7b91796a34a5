package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.List;
import org.sardinebay.Address;
import org.sardinebay.endpoint.EndpointReply;

/** Collects the output of a member while it handles one event. */
final class Outbox {
  private final List<JournalRecord> records = new ArrayList<>();
  private final List<MemberOutput.Answer> answers = new ArrayList<>();
  private final List<MemberOutput.PullAnswer> pullAnswers = new ArrayList<>();
  private final List<MemberOutput.Pull> pulls = new ArrayList<>();

  void persist(JournalRecord journalRecord) {
    records.add(journalRecord);
  }

  void answer(long ticket, EndpointReply reply) {
    answers.add(new MemberOutput.Answer(ticket, reply));
  }

  void answerPull(long ticket, PullReply reply) {
    pullAnswers.add(new MemberOutput.PullAnswer(ticket, reply));
  }

  void pull(long id, Address address, PullRequest request) {
    pulls.add(new MemberOutput.Pull(id, address, request));
  }

  MemberOutput drain() {
    MemberOutput output =
        new MemberOutput(
            List.copyOf(records),
            List.copyOf(answers),
            List.copyOf(pullAnswers),
            List.copyOf(pulls));
    records.clear();
    answers.clear();
    pullAnswers.clear();
    pulls.clear();
    return output;
  }
}
