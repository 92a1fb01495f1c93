package org.coltsfootvale.testkit.engine;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One request inside an engine and how far it has come. Guarded by the lock of its {@link Batcher}.
 */
final class Completion {

  private final String requestId;
  private final Prompt prompt;
  private final int priority;
  private final List<String> answer;
  private State state = State.QUEUED;
  private long sequence;
  private int cachedTokens;
  private double prefillLeftTokens;
  private double decodeCreditTokens;
  private int producedTokens;
  private @Nullable Listener listener;

  Completion(String requestId, Prompt prompt, int priority, List<String> answer) {
    this.requestId = requestId;
    this.prompt = prompt;
    this.priority = priority;
    this.answer = List.copyOf(answer);
  }

  String requestId() {
    return requestId;
  }

  Prompt prompt() {
    return prompt;
  }

  int priority() {
    return priority;
  }

  List<String> answer() {
    return answer;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  State state() {
    return state;
  }

  long sequence() {
    return sequence;
  }

  void enqueue(long number) {
    sequence = number;
  }

  void begin(int cached) {
    state = State.PREFILL;
    cachedTokens = cached;
    prefillLeftTokens = Math.max(1, prompt.tokens() - cached);
  }

  /** Prefills up to a number of tokens and returns how many were used. */
  double prefill(double tokens) {
    double used = Math.min(tokens, prefillLeftTokens);
    prefillLeftTokens -= used;
    if (prefillLeftTokens <= 0) {
      state = State.DECODE;
    }
    return used;
  }

  /** Generates what a number of tokens allows, and tells the listener. */
  void decode(double tokens) {
    decodeCreditTokens += tokens;
    while (decodeCreditTokens >= 1 && producedTokens < answer.size()) {
      decodeCreditTokens -= 1;
      emit(producedTokens);
      producedTokens++;
    }
    if (producedTokens == answer.size()) {
      state = State.FINISHED;
    }
  }

  void cancel() {
    state = State.CANCELLED;
  }

  /** Tells the listener that the request is over. */
  void announceEnd() {
    Listener current = listener;
    if (current != null) {
      current.onEnd(this);
    }
  }

  /** Replaces the listener and repeats to it what was generated from an offset on. */
  void attach(int fromToken, Listener replacement) {
    listener = replacement;
    for (int i = fromToken; i < producedTokens; i++) {
      emit(i);
    }
    if (over()) {
      announceEnd();
    }
  }

  boolean over() {
    return state == State.FINISHED || state == State.CANCELLED;
  }

  long queuedTokens() {
    return state == State.QUEUED ? prompt.tokens() : (long) Math.ceil(prefillLeftTokens);
  }

  long runningTokens() {
    return (long) answer.size() - producedTokens;
  }

  private void emit(int index) {
    Listener current = listener;
    if (current != null) {
      current.onToken(index, answer.get(index));
    }
  }

  /** How far a request has come. */
  enum State {
    QUEUED,
    PREFILL,
    DECODE,
    FINISHED,
    CANCELLED
  }

  /** Receives the answer; called under the batcher's lock and must not block. */
  interface Listener {

    void onToken(int index, String text);

    void onEnd(Completion completion);
  }
}
