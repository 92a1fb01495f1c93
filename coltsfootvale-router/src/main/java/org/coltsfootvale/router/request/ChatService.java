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
  private final IdempotentRequestExecutor requestExecutor;
  private final ChatRequestReader reader;

  /** Creates the handler. */
  public ChatService(
      Collaborators collaborators,
      IdempotentRequestExecutor requestExecutor,
      ServingSettings settings) {
    this.collaborators = collaborators;
    this.requestExecutor = requestExecutor;
    this.reader = new ChatRequestReader(collaborators.fleet(), collaborators.tokens(), settings);
  }

  /**
   * The collaborators of a chat's execution.
   *
   * @param fleet the state of the fleet
   * @param tokens issues and verifies continuation tokens
   * @param selector chooses engines
   * @param admission enforces limits
   * @param retryPolicy decides on retries after a failure
   * @param breakers the engines' circuit breakers, by engine id
   * @param membership receives reports of engines that leave or cannot be reached
   * @param engines sends to engines
   * @param metrics the meters of served requests
   * @param clock the clock
   * @param sleeper sleeps between attempts
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
      Sleeper sleeper) {}

  @Override
  public void serve(IncomingRequest request, Answer answer) {
    if (!request.method().equals("POST")) {
      throw org.coltsfootvale.core.error.ColtsfootvaleException.notRun(
          org.coltsfootvale.core.error.ErrorKind.UNKNOWN_RESOURCE, "chats are sent with POST");
    }
    requestExecutor.serve(
        request, answer, (beforeSend, target) -> run(request, beforeSend, target));
  }

  private void run(IncomingRequest request, Runnable beforeSend, Answer answer) {
    ChatRequest chat = reader.read(request);
    boolean repeatable = !IdempotentRequestExecutor.markedNoRepeat(request);
    ChatOutput output = output(request, chat, answer);
    new ChatExecution(collaborators, request, chat, repeatable, beforeSend, output).run();
  }

  private static ChatOutput output(IncomingRequest request, ChatRequest chat, Answer answer) {
    return chat.stream()
        ? new StreamOutput(answer)
        : new BufferedOutput(answer, request.requestId(), chat.model().value());
  }
}
