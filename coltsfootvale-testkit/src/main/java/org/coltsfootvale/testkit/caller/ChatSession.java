package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.sse.EventSources;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.coltsfootvale.testkit.engine.AnswerText;
import org.coltsfootvale.testkit.engine.Message;
import org.coltsfootvale.testkit.engine.Prompt;
import org.coltsfootvale.testkit.support.Json;

/**
 * A multi-turn chat: sends a request, checks the answer, pauses, and sends the next request with
 * all messages so far and the continuation token. Its steps run one after another.
 */
final class ChatSession {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int ATTEMPTS_MAX = 8;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int ALPHABET = 26;
  private static final long UNREACHABLE_PAUSE_MILLIS = 200;

  private final CallersContext context;
  private final Plan.ChatKind kind;
  private final Plan.Organisation organisation;
  private final EntryAnswerCache entry;
  private final UniformRandomProvider random;
  private final String id;
  private final Runnable onEnd;
  private final List<Message> messages = new ArrayList<>();
  private String continuation = "";
  private int turn;
  private int attempts;
  private long turnStartedNanos;
  private int reusableTokens;

  ChatSession(
      CallersContext context,
      Plan.ChatKind kind,
      Plan.Organisation organisation,
      EntryAnswerCache entry,
      UniformRandomProvider random,
      String id,
      Runnable onEnd) {
    this.context = context;
    this.kind = kind;
    this.organisation = organisation;
    this.entry = entry;
    this.random = random;
    this.id = id;
    this.onEnd = onEnd;
  }

  /** Starts the next turn, or ends the chat if it has no more turns or the deadline has passed. */
  void nextTurn() {
    if (turn >= kind.turns() || context.deadline().passed()) {
      onEnd.run();
      return;
    }
    int tokens = turn == 0 ? kind.firstTokens() : kind.turnTokens();
    turn++;
    attempts = 0;
    turnStartedNanos = System.nanoTime();
    messages.add(new Message("user", randomText(tokens)));
    send();
  }

  private void send() {
    attempts++;
    Optional<String> address = entry.address();
    if (address.isEmpty()) {
      retryOrGiveUp(TurnOutcome.UNREACHABLE, UNREACHABLE_PAUSE_MILLIS);
      return;
    }
    Request request = request(address.get());
    TurnListener listener =
        new TurnListener(
            context.statistics(),
            kind.requestClass(),
            turnStartedNanos,
            result -> onTurnEnded(address.get(), result));
    EventSources.createFactory(context.http().client()).newEventSource(request, listener);
  }

  private Request request(String address) {
    ObjectNode body = Json.object().put("model", context.plan().model()).put("stream", true);
    body.put("max_tokens", kind.answerTokens());
    ArrayNode list = body.putArray("messages");
    for (Message message : messages) {
      list.addObject().put("role", message.role()).put("content", message.content());
    }
    Request.Builder request =
        new Request.Builder()
            .url(address + "/v1/chat/completions")
            .header("Authorization", "Bearer " + organisation.key())
            .header("Coltsfootvale-Class", kind.requestClass())
            .header("Coltsfootvale-Chat", id)
            .post(RequestBody.create(Json.write(body), JSON));
    if (!continuation.isEmpty()) {
      request.header("Coltsfootvale-Continuation", continuation);
    }
    return request.build();
  }

  private void onTurnEnded(String address, TurnListener.TurnResult result) {
    if (result.refreshEntry()) {
      entry.invalidate();
    }
    TurnOutcome outcome = evaluate(result);
    context.statistics().count(kind.name(), outcome.label());
    if (outcome == TurnOutcome.UNREACHABLE || outcome == TurnOutcome.CONNECTION_LOST) {
      entry.onFailure(address);
    }
    if (outcome == TurnOutcome.WHOLE) {
      onCompleteAnswer(result);
    } else {
      retryOrGiveUp(outcome, result.retryMillis());
    }
  }

  private TurnOutcome evaluate(TurnListener.TurnResult result) {
    if (result.outcome() != TurnOutcome.WHOLE) {
      return result.outcome();
    }
    Prompt prompt = new Prompt(context.plan().model(), id, messages, kind.answerTokens(), true);
    boolean own = AnswerText.text(prompt).equals(result.text());
    return own ? TurnOutcome.WHOLE : TurnOutcome.WRONG;
  }

  private void onCompleteAnswer(TurnListener.TurnResult result) {
    context.statistics().addReusable(reusableTokens);
    messages.add(new Message("assistant", result.text()));
    reusableTokens = messages.stream().mapToInt(Message::tokens).sum();
    continuation = result.continuation();
    double pause = ZigguratSampler.Exponential.of(random, (double) kind.pauseMillis()).sample();
    schedule((long) pause, this::nextTurn);
  }

  private void retryOrGiveUp(TurnOutcome outcome, long millis) {
    if (attempts < ATTEMPTS_MAX && !context.deadline().passed()) {
      schedule(millis, this::send);
      return;
    }
    String given = context.deadline().passed() ? "left at the end" : "given up";
    context.statistics().count(kind.name(), given + " after " + outcome.label());
    onEnd.run();
  }

  private void schedule(long millis, Runnable step) {
    try {
      var unused = context.timers().schedule(step, millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException ignored) {
      onEnd.run();
    }
  }

  private String randomText(int tokens) {
    int characters = tokens * CHARACTERS_PER_TOKEN;
    StringBuilder text = new StringBuilder(characters);
    text.append(id).append(' ');
    while (text.length() < characters) {
      text.append((char) ('a' + random.nextInt(ALPHABET)));
    }
    text.setLength(Math.max(1, characters));
    return text.toString();
  }
}
