package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Address;
import org.sardinebay.CallerRequest;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.ForwardCall;
import org.sardinebay.net.peer.generated.Frame;

/**
 * Forwards requests to other proxies.
 *
 * <pre>{@code
 * forwarder.forward(address, request, body, inDoubt, 500).thenAccept(result -> ...);
 * }</pre>
 */
public final class Forwarder {
  private final PeerClient peers;

  /**
   * Creates a forwarder.
   *
   * @param peers sends calls to other processes
   */
  public Forwarder(PeerClient peers) {
    this.peers = peers;
  }

  /** The result of forwarding a request. */
  public sealed interface Result {
    /**
     * The other proxy answered.
     *
     * @param json the answer to the caller
     */
    record Answered(JsonNode json) implements Result {}

    /** The request was not sent. */
    record NotSent() implements Result {}

    /** The request was sent and may have run, but no valid answer arrived. */
    record NoAnswer() implements Result {}
  }

  /**
   * Forwards one request.
   *
   * @param address the peer address of the other proxy
   * @param request the request
   * @param body the request as the caller sent it
   * @param inDoubt whether an earlier attempt may have run it
   * @param timeoutMillis the time in milliseconds to wait for the answer
   * @return completes with the result
   */
  public CompletableFuture<Result> forward(
      Address address, CallerRequest request, JsonNode body, boolean inDoubt, long timeoutMillis) {
    ForwardCall call =
        ForwardCall.newBuilder()
            .setRequest(ByteString.copyFrom(Json.bytes(body)))
            .setRequestId(request.requestId())
            .setRemainingMillis(timeoutMillis)
            .setInDoubt(inDoubt)
            .build();
    Frame frame = Frame.newBuilder().setForwardCall(call).build();
    return peers.call(address, frame, timeoutMillis).thenApply(Forwarder::result);
  }

  private static Result result(PeerResult result) {
    if (result instanceof PeerResult.Reply reply) {
      byte[] answer = reply.frame().getForwardReply().getAnswer().toByteArray();
      Optional<JsonNode> json = Json.parse(answer);
      return json.isPresent() ? new Result.Answered(json.get()) : new Result.NoAnswer();
    }
    return result instanceof PeerResult.NotSent ? new Result.NotSent() : new Result.NoAnswer();
  }
}
