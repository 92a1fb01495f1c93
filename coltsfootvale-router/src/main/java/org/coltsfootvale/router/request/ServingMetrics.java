package org.coltsfootvale.router.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.retry.AttemptFailure;

/** Counters and timers of the requests that a router serves. */
public final class ServingMetrics {

  private final MeterRegistry registry;
  private final Timer firstToken;
  private final Timer betweenTokens;
  private final Counter retries;
  private final Counter resumes;
  private final Counter chunks;
  private final Counter promptTokens;
  private final Counter cachedTokens;
  private final Counter callerDisconnects;

  /** Registers the meters. */
  public ServingMetrics(MeterRegistry registry, Drain drain) {
    this.registry = registry;
    firstToken = timer(registry, "coltsfootvale.chat.first.token");
    betweenTokens = timer(registry, "coltsfootvale.chat.between.tokens");
    retries = registry.counter("coltsfootvale.attempts.retried");
    resumes = registry.counter("coltsfootvale.attempts.resumed");
    chunks = registry.counter("coltsfootvale.chat.chunks");
    promptTokens = registry.counter("coltsfootvale.chat.prompt.tokens");
    cachedTokens = registry.counter("coltsfootvale.chat.cached.tokens");
    callerDisconnects = registry.counter("coltsfootvale.callers.gone");
    registry.gauge("coltsfootvale.requests.in.progress", drain, Drain::inProgress);
  }

  private static Timer timer(MeterRegistry registry, String name) {
    return Timer.builder(name)
        .serviceLevelObjectives(
            Duration.ofMillis(32), Duration.ofMillis(100), Duration.ofMillis(1_300))
        .register(registry);
  }

  /** Counts a request with a complete answer. */
  public void succeeded(String path) {
    registry
        .counter("coltsfootvale.requests", "path", path, "outcome", "ok", "kind", "OK")
        .increment();
  }

  /** Counts a request that ended in an error. */
  public void failed(String path, ColtsfootvaleException error) {
    String outcome = error.outcome().name().toLowerCase(Locale.ROOT);
    String kind = error.kind().name();
    registry
        .counter("coltsfootvale.requests", "path", path, "outcome", outcome, "kind", kind)
        .increment();
  }

  /** Counts a failed attempt at a backend server. */
  void attemptFailed(AttemptFailure failure) {
    String stage = failure.stage().name().toLowerCase(Locale.ROOT);
    registry.counter("coltsfootvale.attempts.failed", "stage", stage).increment();
  }

  /** Returns the time of the registry's monotonic clock in nanoseconds. */
  long nanoTime() {
    return registry.config().clock().monotonicTime();
  }

  void retried() {
    retries.increment();
  }

  void resumed() {
    resumes.increment();
  }

  void firstToken(long nanos) {
    firstToken.record(nanos, TimeUnit.NANOSECONDS);
    chunks.increment();
  }

  void betweenTokens(long nanos) {
    betweenTokens.record(nanos, TimeUnit.NANOSECONDS);
    chunks.increment();
  }

  void promptTokens(int prompt, int cached) {
    promptTokens.increment(prompt);
    cachedTokens.increment(cached);
  }

  /** Counts a caller that disconnected before its answer was complete. */
  public void callerDisconnected() {
    callerDisconnects.increment();
  }

  /** Counts a decision of the idempotency registry. */
  void idempotencyDecision(String decision) {
    registry.counter("coltsfootvale.keys.decisions", "decision", decision).increment();
  }
}
