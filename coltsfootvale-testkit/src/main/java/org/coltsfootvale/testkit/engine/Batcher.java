package org.coltsfootvale.testkit.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Continuous batching in simulated time, which passes only by {@link #advance}. Requests start in
 * order of priority, then of arrival. The prefill rate is allotted in the same order; each
 * prefilled request decodes at the full decode rate. Thread-safe.
 */
final class Batcher {

  private static final int FINISHED_REQUESTS_MAX = 2_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Comparator<Completion> ORDER =
      Comparator.comparingInt(Completion::priority).thenComparingLong(Completion::sequence);

  private final EngineOptions options;
  private final PrefixCache cache;
  private final Object lock = new Object();
  private final List<Completion> outstanding = new ArrayList<>();
  private final Map<String, Completion> requestsById = new LinkedHashMap<>();
  private final Totals totals = new Totals();
  private long lastSequence;

  Batcher(EngineOptions options, PrefixCache.ChangeListener cacheListener) {
    this.options = options;
    this.cache = new PrefixCache(options.cacheTokens(), cacheListener);
  }

  /**
   * Accepts a request unless the engine is full or would exceed the outstanding requests that the
   * sender allows, and returns whether it did.
   */
  boolean submit(Completion completion, int outstandingMax) {
    synchronized (lock) {
      if (outstanding.size() >= Math.min(options.capacityRequests(), outstandingMax)) {
        totals.refused++;
        return false;
      }
      completion.enqueue(++lastSequence);
      outstanding.add(completion);
      track(completion);
      totals.accepted++;
      return true;
    }
  }

  /** Cancels a request and returns whether it was outstanding. */
  boolean cancel(String requestId) {
    synchronized (lock) {
      Completion completion = requestsById.get(requestId);
      if (completion == null || completion.ended()) {
        return false;
      }
      completion.cancel();
      outstanding.remove(completion);
      totals.cancelled++;
      completion.notifyEnd();
      return true;
    }
  }

  /** Returns a request that is outstanding or ended recently. */
  Optional<Completion> find(String requestId) {
    synchronized (lock) {
      return Optional.ofNullable(requestsById.get(requestId));
    }
  }

  /** Sends the answer of a request to a listener, starting at a token offset. */
  void attach(Completion completion, int fromToken, Completion.Listener listener) {
    synchronized (lock) {
      completion.attach(fromToken, listener);
    }
  }

  /** Advances the simulated time. */
  void advance(Duration elapsed) {
    double seconds = elapsed.toNanos() / NANOS_PER_SECOND * options.timeScale();
    synchronized (lock) {
      if (outstanding.isEmpty()) {
        return;
      }
      List<Completion> running = startQueued();
      prefill(running, seconds * options.prefillTokensPerSecond());
      decode(running, seconds * options.decodeTokensPerSecond());
      removeFinished();
    }
  }

  /** Returns the current load. */
  LoadSample load() {
    synchronized (lock) {
      long queued = outstanding.stream().mapToLong(Completion::queuedTokens).sum();
      long running = outstanding.stream().mapToLong(Completion::runningTokens).sum();
      return new LoadSample(outstanding.size(), queued, running, cache.heldTokens());
    }
  }

  /** Returns the cached blocks of a chat. */
  List<PrefixCache.Block> export(String chat) {
    synchronized (lock) {
      return cache.blocks(chat);
    }
  }

  /** Stores the cached blocks of another engine. */
  void store(String chat, List<PrefixCache.Block> blocks) {
    synchronized (lock) {
      cache.storeBlocks(chat, blocks);
    }
  }

  /** Returns the counts since the start. */
  Totals totals() {
    synchronized (lock) {
      return totals.copy();
    }
  }

  private List<Completion> startQueued() {
    outstanding.sort(ORDER);
    List<Completion> running = new ArrayList<>();
    for (Completion completion : outstanding) {
      if (completion.state() != Completion.State.QUEUED) {
        running.add(completion);
      }
    }
    for (Completion completion : outstanding) {
      boolean queued = completion.state() == Completion.State.QUEUED;
      if (queued && running.size() < options.batchRequests()) {
        startPrefill(completion);
        running.add(completion);
      }
    }
    running.sort(ORDER);
    return running;
  }

  private void startPrefill(Completion completion) {
    Prompt prompt = completion.prompt();
    int cached = cache.cachedTokens(prompt.chat(), prompt.messages());
    completion.startPrefill(cached);
    totals.promptTokens += prompt.tokens();
    totals.cachedTokens += cached;
  }

  private void prefill(List<Completion> running, double tokens) {
    double remaining = tokens;
    for (Completion completion : running) {
      if (completion.state() == Completion.State.PREFILL) {
        remaining -= completion.prefill(remaining);
        if (completion.state() == Completion.State.DECODE) {
          cache.store(completion.prompt().chat(), completion.prompt().messages());
        }
      }
    }
  }

  private static void decode(List<Completion> running, double tokens) {
    for (Completion completion : running) {
      if (completion.state() == Completion.State.DECODE) {
        completion.decode(tokens);
      }
    }
  }

  private void removeFinished() {
    List<Completion> finished = outstanding.stream().filter(Completion::ended).toList();
    outstanding.removeAll(finished);
    for (Completion completion : finished) {
      List<Message> messages = new ArrayList<>(completion.prompt().messages());
      messages.add(new Message("assistant", String.join("", completion.answer())));
      cache.store(completion.prompt().chat(), messages);
      totals.finished++;
      totals.completionTokens += completion.answer().size();
      completion.notifyEnd();
    }
  }

  private void track(Completion completion) {
    requestsById.put(completion.requestId(), completion);
    if (requestsById.size() > FINISHED_REQUESTS_MAX + options.capacityRequests()) {
      requestsById.values().stream()
          .filter(Completion::ended)
          .findFirst()
          .ifPresent(oldest -> requestsById.remove(oldest.requestId()));
    }
  }

  /**
   * A snapshot of the load.
   *
   * @param outstandingRequests accepted requests that have not ended
   * @param queuedTokens prompt tokens not yet prefilled
   * @param runningTokens answer tokens not yet generated
   * @param cachedTokens tokens in the prefix cache
   */
  record LoadSample(
      int outstandingRequests, long queuedTokens, long runningTokens, long cachedTokens) {}

  /** Counts since the start. */
  static final class Totals {
    long accepted;
    long finished;
    long cancelled;
    long refused;
    long promptTokens;
    long cachedTokens;
    long completionTokens;

    private Totals copy() {
      Totals copy = new Totals();
      copy.accepted = accepted;
      copy.finished = finished;
      copy.cancelled = cancelled;
      copy.refused = refused;
      copy.promptTokens = promptTokens;
      copy.cachedTokens = cachedTokens;
      copy.completionTokens = completionTokens;
      return copy;
    }
  }
}
