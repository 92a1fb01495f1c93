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
 * Simulated engine that prefills in chunks by priority, decodes all running requests at a fixed
 * rate and caches prefixes up to a capacity.
 */
final class SimulatedEngine {

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

  SimulatedEngine(EngineId id, VirtualTime time, long cacheTokens) {
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

  /**
   * Accepts a request, importing cache from the source if it holds more; returns the cached prompt
   * tokens.
   */
  int accept(
      Arrival arrival,
      @org.jspecify.annotations.Nullable SimulatedEngine source,
      RequestListener listener) {
    int ownTokens = Math.min(arrival.promptTokens(), cache.lookUp(arrival.chat()));
    int cached = ownTokens;
    double delayMillis = 0;
    if (source != null && source.liveness != Liveness.DEAD) {
      int sourceTokens = Math.min(arrival.promptTokens(), source.cache.lookUp(arrival.chat()));
      if (sourceTokens > ownTokens) {
        cached = sourceTokens;
        delayMillis = IMPORT_OVERHEAD_MILLIS + sourceTokens * 1000 / IMPORT_TOKENS_PER_SECOND;
        listener.onImport(sourceTokens);
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

  /** Stops at once, losing all outstanding requests and the cache. */
  void crash() {
    liveness = Liveness.DEAD;
    cache.clear();
    queue.clear();
    queuedTokens = 0;
    prefilling = false;
    List<Job> lost = new ArrayList<>(outstanding);
    outstanding.clear();
    lost.forEach(job -> job.listener.onEngineCrash(job.started));
  }

  /** Starts the departure: the engine is leaving and accepts no new requests. */
  void startLeaving() {
    liveness = Liveness.LEAVING;
  }

  /** Restarts as a new incarnation with an empty cache. */
  void restart() {
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
    long startedIncarnation = incarnation;
    time.schedule(
        time.now() + chunk * 1000 / PREFILL_TOKENS_PER_SECOND,
        () -> onChunkPrefilled(job, chunk, startedIncarnation));
  }

  private void onChunkPrefilled(Job job, int chunk, long startedIncarnation) {
    if (startedIncarnation != incarnation || !outstanding.contains(job)) {
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

  /** Receives the progress of a request. */
  interface RequestListener {

    /** Called when an import of cached tokens starts. */
    void onImport(int tokens);

    /** Called when the prefill has ended, with the time of the first token in milliseconds. */
    void onFirstToken(double timeMillis);

    /** Called when the answer is complete, with the number of the chat's tokens in the cache. */
    void onFinished(int cachedTokens);

    /** Called when the engine crashes, with whether part of the answer had been sent. */
    void onEngineCrash(boolean partial);
  }

  private static final class Job {

    private final Arrival arrival;
    private final long sequence;
    private final RequestListener listener;
    private int remainingTokens;
    private boolean started;

    Job(Arrival arrival, long sequence, RequestListener listener) {
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
