package org.coltsfootvale.router.request;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.placement.ContinuationTokens;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.coltsfootvale.router.backend.EngineClient;

/** Serves chats. */
public final class ChatService implements RequestHandler {

  private final Collaborators collaborators;
  private final IdempotentRequestExecutor keyed;
  private final ChatRequestReader reader;

  /** Creates the handler. */
  public ChatService(
      Collaborators collaborators, IdempotentRequestExecutor keyed, ServingSettings settings) {
    this.collaborators = collaborators;
    this.keyed = keyed;
    this.reader = new ChatRequestReader(collaborators.fleet(), collaborators.tokens(), settings);
  }

  /**
   * What a chat's course needs.
   *
   * @param fleet the state of the fleet
   * @param tokens writes continuation tokens
   * @param selector chooses engines
   * @param admission enforces limits
   * @param retryPolicy decides what follows a failure
   * @param breakers the engines' circuit breakers, by engine id
   * @param membership is told of engines that leave or cannot be reached
   * @param engines sends to engines
   * @param metrics counts
   * @param clock the clock
   * @param pause waits between attempts
   */
  public record Collaborators(
      Supplier<FleetState> fleet,
      ContinuationTokens tokens,
      EngineSelector selector,
      AdmissionController admission,
      RetryPolicy retryPolicy,
      CircuitBreakers breakers,
      Membership membership,
      EngineClient engines,
      ServingMetrics metrics,
      InstantSource clock,
      Sleeper pause) {}

  @Override
  public void serve(IncomingRequest request, Answer answer) {
    if (!request.method().equals("POST")) {
      throw org.coltsfootvale.core.error.ColtsfootvaleException.notRun(
          org.coltsfootvale.core.error.ErrorKind.UNKNOWN_RESOURCE, "chats are sent with POST");
    }
    keyed.serve(request, answer, (beforeSend, target) -> run(request, beforeSend, target));
  }

  private void run(IncomingRequest request, Runnable beforeSend, Answer answer) {
    ChatRequest chat = reader.read(request);
    boolean repeatable = !IdempotentRequestExecutor.marked(request);
    ChatOutput output = output(request, chat, answer);
    new ChatCourse(collaborators, request, chat, repeatable, beforeSend, output).run();
  }

  private static ChatOutput output(IncomingRequest request, ChatRequest chat, Answer answer) {
    return chat.stream()
        ? new StreamOutput(answer)
        : new WholeOutput(answer, request.requestId(), chat.model().value());
  }
}
