package org.coltsfootvale.verify.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.Liveness;

/**
 * An engine that prefills in chunks by priority, decodes all running requests at a fixed rate and
 * caches prefixes in limited memory.
 */
final class FakeEngine {

  static final int MILLIS_PER_TOKEN = 30;
  static final double PREFILL_TOKENS_PER_SECOND = 10_000;
  static final double IMPORT_TOKENS_PER_SECOND = 50_000;
  static final double IMPORT_OVERHEAD_MILLIS = 50;

  private static final int CHUNK_TOKENS = 512;

  private final EngineId id;
  private final VirtualTime time;
  private final PrefixCache cache;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(Comparator.comparingInt(Job::priority).thenComparingLong(Job::sequence));
  private final Set<Job> outstanding = new LinkedHashSet<>();
  private Liveness liveness = Liveness.LIVE;
  private long incarnation = 1;
  private boolean prefilling;
  private long queuedTokens;
  private long sequence;

  FakeEngine(EngineId id, VirtualTime time, long cacheTokens) {
    this.id = id;
    this.time = time;
    this.cache = new PrefixCache(cacheTokens);
  }

  EngineId id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  Liveness liveness() {
    return liveness;
  }

  int outstandingRequests() {
    return outstanding.size();
  }

  long queuedTokens() {
    return queuedTokens;
  }

  PrefixCache cache() {
    return cache;
  }

  /** Starts a request, after an import if there is a source; returns the cached prompt tokens. */
  int accept(
      Arrival arrival, @org.jspecify.annotations.Nullable FakeEngine source, Listener listener) {
    int own = Math.min(arrival.promptTokens(), cache.tokens(arrival.chat()));
    int cached = own;
    double delayMillis = 0;
    if (source != null && source.liveness != Liveness.DEAD) {
      int held = Math.min(arrival.promptTokens(), source.cache.tokens(arrival.chat()));
      if (held > own) {
        cached = held;
        delayMillis = IMPORT_OVERHEAD_MILLIS + held * 1000 / IMPORT_TOKENS_PER_SECOND;
        listener.onImport(held);
      }
    }
    Job job = new Job(arrival, sequence++, listener);
    job.remainingTokens = Math.max(1, arrival.promptTokens() - cached);
    outstanding.add(job);
    queuedTokens += job.remainingTokens;
    if (delayMillis > 0) {
      time.schedule(time.now() + delayMillis, () -> enqueue(job));
    } else {
      enqueue(job);
    }
    return cached;
  }

  /** Stops at once and loses what runs and what is cached. */
  void crash() {
    liveness = Liveness.DEAD;
    cache.clear();
    queue.clear();
    queuedTokens = 0;
    prefilling = false;
    List<Job> lost = new ArrayList<>(outstanding);
    outstanding.clear();
    lost.forEach(job -> job.listener.onLost(job.started));
  }

  /** Takes no new work from now on. */
  void leave() {
    liveness = Liveness.LEAVING;
  }

  /** Starts again with an empty cache. */
  void join() {
    liveness = Liveness.LIVE;
    incarnation++;
    cache.clear();
  }

  private void enqueue(Job job) {
    if (!outstanding.contains(job)) {
      return;
    }
    queue.add(job);
    if (!prefilling) {
      prefillNext();
    }
  }

  private void prefillNext() {
    Job job = queue.peek();
    prefilling = job != null;
    if (job == null) {
      return;
    }
    int chunk = Math.min(CHUNK_TOKENS, job.remainingTokens);
    long run = incarnation;
    time.schedule(
        time.now() + chunk * 1000 / PREFILL_TOKENS_PER_SECOND, () -> prefilled(job, chunk, run));
  }

  private void prefilled(Job job, int chunk, long run) {
    if (run != incarnation || !outstanding.contains(job)) {
      return;
    }
    job.remainingTokens -= chunk;
    queuedTokens -= chunk;
    if (job.remainingTokens == 0) {
      queue.remove(job);
      job.started = true;
      cache.put(job.arrival.chat(), job.arrival.promptTokens());
      job.listener.onFirstToken(time.now() + MILLIS_PER_TOKEN);
      double end = time.now() + (double) job.arrival.outputTokens() * MILLIS_PER_TOKEN;
      time.schedule(end, () -> finish(job));
    }
    prefillNext();
  }

  private void finish(Job job) {
    if (!outstanding.remove(job)) {
      return;
    }
    int tokens = job.arrival.promptTokens() + job.arrival.outputTokens();
    cache.put(job.arrival.chat(), tokens);
    job.listener.onFinished(tokens);
  }

  /** Hears how a request fares. */
  interface Listener {

    /** Tells that so many tokens of cache are being imported. */
    void onImport(int tokens);

    /** Tells the time of the first token. */
    void onFirstToken(double timeMillis);

    /** Tells that the answer is whole; the cache holds so many tokens of the chat. */
    void onFinished(int cachedTokens);

    /** Tells that the engine has failed, and whether part of the answer had been sent. */
    void onLost(boolean partial);
  }

  private static final class Job {

    private final Arrival arrival;
    private final long sequence;
    private final Listener listener;
    private int remainingTokens;
    private boolean started;

    Job(Arrival arrival, long sequence, Listener listener) {
      this.arrival = arrival;
      this.sequence = sequence;
      this.listener = listener;
    }

    int priority() {
      return arrival.requestClass().priority();
    }

    long sequence() {
      return sequence;
    }
  }
}
