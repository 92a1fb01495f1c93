package org.coltsfootvale.testkit.engine;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** A request in an engine and its progress. Guarded by the lock of its {@link Batcher}. */
final class Completion {

  private final String requestId;
  private final Prompt prompt;
  private final int priority;
  private final List<String> answer;
  private State state = State.QUEUED;
  private long sequence;
  private int cachedTokens;
  private double remainingPrefillTokens;
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

  void startPrefill(int cached) {
    state = State.PREFILL;
    cachedTokens = cached;
    remainingPrefillTokens = Math.max(1, prompt.tokens() - cached);
  }

  /** Prefills up to the given number of tokens and returns how many were used. */
  double prefill(double tokens) {
    double used = Math.min(tokens, remainingPrefillTokens);
    remainingPrefillTokens -= used;
    if (remainingPrefillTokens <= 0) {
      state = State.DECODE;
    }
    return used;
  }

  /** Adds to the decode budget, and generates and emits as many tokens as it allows. */
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

  /** Notifies the listener that the request has ended. */
  void notifyEnd() {
    Listener current = listener;
    if (current != null) {
      current.onEnd(this);
    }
  }

  /** Replaces the listener and sends it the tokens generated so far, starting at an offset. */
  void attach(int fromToken, Listener replacement) {
    listener = replacement;
    for (int i = fromToken; i < producedTokens; i++) {
      emit(i);
    }
    if (ended()) {
      notifyEnd();
    }
  }

  boolean ended() {
    return state == State.FINISHED || state == State.CANCELLED;
  }

  long queuedTokens() {
    return state == State.QUEUED ? prompt.tokens() : (long) Math.ceil(remainingPrefillTokens);
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

  /** The state of a request. */
  enum State {
    QUEUED,
    PREFILL,
    DECODE,
    FINISHED,
    CANCELLED
  }

  /** Receives the answer. Called while the batcher's lock is held; must not block. */
  interface Listener {

    void onToken(int index, String text);

    void onEnd(Completion completion);
  }
}
