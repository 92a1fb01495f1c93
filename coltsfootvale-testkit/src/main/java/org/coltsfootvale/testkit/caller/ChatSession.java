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
 * One returning chat: asks, checks the answer, pauses, and returns with the whole text so far and
 * the continuation token. Its steps run one after another.
 */
final class ChatSession {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int TRIES_MAX = 8;
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
  private int tries;
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

  /** Begins the next turn, or ends the chat if it has had them all or time is up. */
  void nextTurn() {
    if (turn >= kind.turns() || context.deadline().passed()) {
      onEnd.run();
      return;
    }
    int tokens = turn == 0 ? kind.firstTokens() : kind.turnTokens();
    turn++;
    tries = 0;
    turnStartedNanos = System.nanoTime();
    messages.add(new Message("user", text(tokens)));
    send();
  }

  private void send() {
    tries++;
    Optional<String> address = entry.address();
    if (address.isEmpty()) {
      retryOrGiveUp(TurnOutcome.UNREACHABLE, UNREACHABLE_PAUSE_MILLIS);
      return;
    }
    Request request = request(address.get());
    TurnListener listener =
        new TurnListener(
            context.tally(),
            kind.requestClass(),
            turnStartedNanos,
            result -> finish(address.get(), result));
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

  private void finish(String address, TurnListener.TurnResult result) {
    if (result.askAgain()) {
      entry.askAgain();
    }
    TurnOutcome outcome = judge(result);
    context.tally().count(kind.name(), outcome.shown());
    if (outcome == TurnOutcome.UNREACHABLE || outcome == TurnOutcome.CONNECTION_LOST) {
      entry.failed(address);
    }
    if (outcome == TurnOutcome.WHOLE) {
      complete(result);
    } else {
      retryOrGiveUp(outcome, result.retryMillis());
    }
  }

  private TurnOutcome judge(TurnListener.TurnResult result) {
    if (result.outcome() != TurnOutcome.WHOLE) {
      return result.outcome();
    }
    Prompt prompt = new Prompt(context.plan().model(), id, messages, kind.answerTokens(), true);
    boolean own = AnswerText.text(prompt).equals(result.text());
    return own ? TurnOutcome.WHOLE : TurnOutcome.WRONG;
  }

  private void complete(TurnListener.TurnResult result) {
    context.tally().addReusable(reusableTokens);
    messages.add(new Message("assistant", result.text()));
    reusableTokens = messages.stream().mapToInt(Message::tokens).sum();
    continuation = result.continuation();
    double pause = ZigguratSampler.Exponential.of(random, (double) kind.pauseMillis()).sample();
    later((long) pause, this::nextTurn);
  }

  private void retryOrGiveUp(TurnOutcome outcome, long millis) {
    if (tries < TRIES_MAX && !context.deadline().passed()) {
      later(millis, this::send);
      return;
    }
    String given = context.deadline().passed() ? "left at the end" : "given up";
    context.tally().count(kind.name(), given + " after " + outcome.shown());
    onEnd.run();
  }

  private void later(long millis, Runnable step) {
    try {
      var unused = context.timers().schedule(step, millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException ignored) {
      onEnd.run();
    }
  }

  private String text(int tokens) {
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
