package org.coltsfootvale.testkit.caller;

import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/** Runs a load plan, shows progress and prints the report. */
public final class CallersProgram {

  private static final int TIMER_THREADS = 8;
  private static final int PROGRESS_SECONDS = 5;
  private static final long SKEW_SAMPLE_MILLIS = 500;
  private static final long FINISH_SECONDS_MAX = 30;
  private static final long POLL_MILLIS = 100;

  private final Plan plan;
  private final List<String> entryAddresses;
  private final Optional<String> operatorToken;
  private final PrintStream out;
  private final CallersContext.@Nullable Deadline deadline;

  /**
   * Creates the program.
   *
   * @param plan the load plan
   * @param entryAddresses the addresses of routers that serve the entry answer
   * @param operatorToken the token for reading the routers' state; empty if it is not available
   * @param out the stream for progress and report
   */
  public CallersProgram(
      Plan plan, List<String> entryAddresses, Optional<String> operatorToken, PrintStream out) {
    this(plan, entryAddresses, operatorToken, out, null);
  }

  /**
   * Creates the program with a given deadline.
   *
   * @param deadline the time after which no new requests are started, or null to use the plan's
   *     duration
   */
  CallersProgram(
      Plan plan,
      List<String> entryAddresses,
      Optional<String> operatorToken,
      PrintStream out,
      CallersContext.@Nullable Deadline deadline) {
    this.deadline = deadline;
    this.plan = plan;
    this.entryAddresses = List.copyOf(entryAddresses);
    this.operatorToken = operatorToken;
    this.out = out;
  }

  /** Runs the plan and returns the number of violated guarantees. */
  public long run() throws InterruptedException {
    ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
    try (HttpJson http = new HttpJson()) {
      return run(http, timers);
    } finally {
      timers.shutdownNow();
    }
  }

  private long run(HttpJson http, ScheduledExecutorService timers) throws InterruptedException {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(plan.seed());
    CallerStatistics statistics = new CallerStatistics();
    CallersContext context =
        new CallersContext(
            plan,
            http,
            timers,
            entries(http, random),
            statistics,
            deadline == null ? deadlineFromPlan() : deadline);
    FleetCounts before = FleetCounts.read(http, plan.fleet(), operatorToken);
    SkewSampler skew = new SkewSampler(http, plan.fleet().engines());
    var unused =
        timers.scheduleWithFixedDelay(
            skew::sample, SKEW_SAMPLE_MILLIS, SKEW_SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    ChatLoad chats = new ChatLoad(context);
    KeyedLoad keyed = new KeyedLoad(context);
    chats.start();
    keyed.start();
    showProgress(context, chats, keyed);
    awaitEnd(chats, keyed);
    FleetCounts after = FleetCounts.read(http, plan.fleet(), operatorToken);
    return new Report(out, statistics, before, after).print(skew.describe(), keyed.finalOutcomes());
  }

  private CallersContext.Deadline deadlineFromPlan() {
    long endNanos = System.nanoTime() + Duration.ofSeconds(plan.durationSeconds()).toNanos();
    return () -> System.nanoTime() - endNanos >= 0;
  }

  private List<EntryAnswerCache> entries(HttpJson http, UniformRandomProvider random) {
    List<EntryAnswerCache> entries = new ArrayList<>();
    for (int i = 0; i < plan.callers(); i++) {
      UniformRandomProvider own = RandomSource.SPLIT_MIX_64.create(random.nextLong());
      entries.add(new EntryAnswerCache(http, InstantSource.system(), own, entryAddresses));
    }
    return entries;
  }

  private void showProgress(CallersContext context, ChatLoad chats, KeyedLoad keyed)
      throws InterruptedException {
    int elapsedSeconds = 0;
    while (!context.deadline().passed()) {
      int step = Math.min(PROGRESS_SECONDS, Math.max(1, plan.durationSeconds() - elapsedSeconds));
      TimeUnit.SECONDS.sleep(step);
      elapsedSeconds += step;
      long complete =
          plan.chats().stream()
              .mapToLong(kind -> context.statistics().count(kind.name() + " whole"))
              .sum();
      out.printf(
          "%4d s: %d whole answers, %d chats open, %d of %d keyed requests in progress%n",
          elapsedSeconds,
          complete,
          chats.openCount(),
          keyed.openCount(),
          keyed.finalOutcomes().size() + keyed.openCount());
    }
  }

  private void awaitEnd(ChatLoad chats, KeyedLoad keyed) throws InterruptedException {
    long limitNanos = System.nanoTime() + Duration.ofSeconds(FINISH_SECONDS_MAX).toNanos();
    while (chats.openCount() + keyed.openCount() > 0 && System.nanoTime() - limitNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    if (chats.openCount() + keyed.openCount() > 0) {
      out.printf("%d requests did not end%n", chats.openCount() + keyed.openCount());
    }
  }
}
