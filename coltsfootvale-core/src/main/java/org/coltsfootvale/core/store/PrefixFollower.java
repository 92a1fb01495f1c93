package org.coltsfootvale.core.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.support.Backoff;
import org.coltsfootvale.core.support.Service;

/**
 * Maintains a copy of all keys of a prefix: a full read first, then the changes in order. Repeats
 * the full read when the history is lost or the store was restored from a copy. Failed calls are
 * retried with growing, random delays, so that a fleet that starts together stays within the
 * store's rate limits. Confined to one thread.
 */
public final class PrefixFollower implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final Backoff RETRY_BACKOFF =
      new Backoff(Duration.ofMillis(100), Duration.ofMillis(800));

  /** The time over which the routers of a fleet spread their full reads after a restore. */
  private static final Duration RESTORE_JITTER = Duration.ofMillis(400);

  private final RevisionedStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final FollowTimings timings;
  private final Scheduler scheduler;
  private final DoubleSupplier random;
  private final RecoveryReports recoveryReports;
  private final DecisionLog log;
  private final PrefixState state = new PrefixState();
  private Consumer<PrefixUpdate> onUpdate = update -> {};
  private boolean running;
  private boolean readsStore;
  private long generation;
  private int consecutiveFailures;
  private int consecutiveHistoryLosses;
  private boolean current;
  private boolean initialised;

  /**
   * Creates a follower.
   *
   * @param store the store
   * @param prefix the prefix of the keys
   * @param listener receives full reads and changes
   * @param timings the time of a call and the delays between calls
   * @param scheduler schedules the next call
   * @param random supplies numbers in [0, 1) that randomise delays
   * @param recoveryReports decides which reports of the store's recovery are applied and published
   * @param log records the loss and the recovery of the store
   */
  public PrefixFollower(
      RevisionedStore store,
      String prefix,
      PrefixListener listener,
      FollowTimings timings,
      Scheduler scheduler,
      DoubleSupplier random,
      RecoveryReports recoveryReports,
      DecisionLog log) {
    this.store = store;
    this.prefix = prefix;
    this.listener = listener;
    this.timings = timings;
    this.scheduler = scheduler;
    this.random = random;
    this.recoveryReports = recoveryReports;
    this.log = log;
    store.era().onNewEra(this::onNewEra);
  }

  /** Sets the consumer of each update that was new to this router, for publishing to peers. */
  public void onUpdate(Consumer<PrefixUpdate> consumer) {
    onUpdate = consumer;
  }

  @Override
  public void start() {
    running = true;
    restart();
  }

  @Override
  public void stop() {
    running = false;
    generation++;
  }

  /** Abandons open calls and starts a full read, for example after the process was paused. */
  public void restart() {
    abandonCalls();
    read(generation);
  }

  /** Schedules a full read after a restore, unless a peer reads the store for this router. */
  private void onNewEra(long era) {
    if (running && readsStore && state.position().era() < era) {
      abandonCalls();
      long callGeneration = generation;
      scheduler.schedule(
          Duration.ofNanos((long) (RESTORE_JITTER.toNanos() * random.getAsDouble())),
          () -> read(callGeneration));
    }
  }

  private void abandonCalls() {
    generation++;
    readsStore = true;
    current = false;
  }

  /**
   * Sets whether this router calls the store for changes itself or receives them from a peer. A
   * full read in progress is completed first.
   *
   * @param enabled whether to call the store
   */
  public void setReadsStore(boolean enabled) {
    if (running && enabled && !readsStore) {
      readsStore = true;
      generation++;
      awaitChanges(generation);
    } else if (!enabled && readsStore && current()) {
      readsStore = false;
      generation++;
    }
  }

  /** Returns whether this router calls the store for changes. */
  public boolean readsStore() {
    return readsStore;
  }

  /**
   * Starts the grace period of expired entries after another follower has found that the store
   * recovered, and replaces the open call, which may have been lost in the outage without an error.
   * Publishes nothing, as the other follower does.
   */
  public void onStoreRecovered() {
    if (!running || (readsStore && !current())) {
      return;
    }
    listener.onStoreRecovered();
    if (readsStore) {
      generation++;
      awaitChanges(generation);
    }
  }

  /** Returns whether a full read, own or received from a peer, has ever been applied. */
  public boolean initialised() {
    return initialised;
  }

  /** Returns whether this router has completed a full read and none of its calls failed since. */
  public boolean current() {
    return current && consecutiveFailures == 0;
  }

  private void read(long callGeneration) {
    if (isStale(callGeneration)) {
      return;
    }
    var unused =
        FullRead.of(store, prefix)
            .whenComplete(
                (page, failure) -> {
                  if (isStale(callGeneration)) {
                    return;
                  }
                  if (failure != null) {
                    onCallFailed(callGeneration, failure);
                  } else {
                    onCallSucceeded();
                    onFullRead(callGeneration, page);
                  }
                });
  }

  private void onFullRead(long callGeneration, StorePage page) {
    current = true;
    if (!page.position().isBefore(state.position())) {
      applyFullState(page.entries(), page.position());
    }
    if (timings.initialWatchDelay().isZero()) {
      awaitChanges(callGeneration);
    } else {
      scheduler.schedule(timings.initialWatchDelay(), () -> awaitChanges(callGeneration));
    }
  }

  private void awaitChanges(long callGeneration) {
    if (isStale(callGeneration)) {
      return;
    }
    var unused =
        store
            .awaitChanges(prefix, state.position().revision(), timings.changesWait())
            .whenComplete(
                (changes, failure) -> {
                  if (isStale(callGeneration)) {
                    return;
                  }
                  if (failure != null) {
                    onCallFailed(callGeneration, failure);
                  } else {
                    onCallSucceeded();
                    onChanges(callGeneration, changes);
                  }
                });
  }

  private void onChanges(long callGeneration, StoreChanges changes) {
    if (changes.position().era() != state.position().era()) {
      onHistoryLost("the store was restored");
      return;
    }
    consecutiveHistoryLosses = 0;
    applyChanges(changes.entries(), changes.position());
    if (changes.entries().isEmpty() || timings.coalescingDelay().isZero()) {
      awaitChanges(callGeneration);
    } else {
      scheduler.schedule(timings.coalescingDelay(), () -> awaitChanges(callGeneration));
    }
  }

  private void applyChanges(List<StoreEntry> changes, StorePosition position) {
    long baseRevision = state.latestChange().revision();
    List<StoreEntry> applied = state.applyChanges(changes, position);
    applied.forEach(listener::onChange);
    if (!applied.isEmpty()) {
      onUpdate.accept(PrefixUpdate.ofChanges(prefix, baseRevision, state.position(), applied));
    }
  }

  private void applyFullState(List<StoreEntry> entries, StorePosition position) {
    initialised = true;
    long baseRevision = state.latestChange().revision();
    boolean restored = state.precedesEraOf(position);
    if (restored) {
      // The update below tells the peers so.
      listener.onStoreRecovered();
    }
    List<StoreEntry> applied = state.replaceAll(entries, position);
    if (restored) {
      listener.onRestored(entries);
      onUpdate.accept(PrefixUpdate.ofFullState(prefix, position, entries));
    } else {
      listener.onFullRead(entries);
      if (!applied.isEmpty()) {
        onUpdate.accept(PrefixUpdate.ofChanges(prefix, baseRevision, position, applied));
      }
    }
    store.era().observe(position.era());
  }

  /**
   * Applies an update received from a peer.
   *
   * @return false if earlier changes are missing, so that the peer's full state must be fetched
   */
  public boolean apply(PrefixUpdate update) {
    if (update.recovery().isPresent()) {
      if (recoveryReports.receive(update.recovery().get())) {
        listener.onStoreRecovered();
        recoveryReports.send(update, onUpdate);
      }
      return true;
    }
    if (update.full()) {
      apply(update.entries(), update.position());
      return true;
    }
    if (update.position().era() < state.position().era()) {
      return true;
    }
    if (state.precedesEraOf(update.position())
        || state.position().revision() < update.baseRevision()) {
      return false;
    }
    applyChanges(update.entries(), update.position());
    return true;
  }

  /**
   * Applies the full state of a peer if it is newer than the local state.
   *
   * @param entries all keys of the prefix
   * @param position the store position of the entries
   */
  public void apply(List<StoreEntry> entries, StorePosition position) {
    if (!state.position().isBefore(position)) {
      return;
    }
    boolean missedChanges = readsStore && current();
    if (missedChanges) {
      // The store was unreachable without a failed call, so entries may have expired meanwhile.
      reportRecovery();
    }
    applyFullState(entries, position);
    if (missedChanges) {
      // The open call may be lost, and its answer would be older than the peer's state.
      generation++;
      awaitChanges(generation);
    }
  }

  /** Returns all entries of the prefix, for peers. */
  public List<StoreEntry> currentEntries() {
    return state.all();
  }

  /** Returns the position of the latest observed change. */
  public StorePosition latestChange() {
    return state.latestChange();
  }

  /** Returns the store position up to which changes are applied. */
  public StorePosition position() {
    return state.position();
  }

  /** Returns the prefix. */
  public String prefix() {
    return prefix;
  }

  /** Reports that the store was unreachable, so that entries may have expired. */
  private void reportRecovery() {
    listener.onStoreRecovered();
    recoveryReports.send(PrefixUpdate.ofStoreRecovery(prefix, recoveryReports.observe()), onUpdate);
  }

  private void onCallFailed(long callGeneration, Throwable failure) {
    if (Failures.unwrap(failure) instanceof StoreException exception
        && exception.fault() == StoreException.Fault.HISTORY_GONE) {
      onHistoryLost(String.valueOf(exception.getMessage()));
      return;
    }
    // A full read ends as soon as the store recovers. A call for changes would wait for the next
    // change, and that one would be treated as an expiry during the outage.
    retryLater(failure, () -> read(callGeneration));
  }

  /** Starts a full read, delayed if no changes were received since the last one. */
  private void onHistoryLost(String cause) {
    LOGGER.atInfo().log("%s; starting a full read of %s", cause, prefix);
    abandonCalls();
    long callGeneration = generation;
    if (consecutiveHistoryLosses == 0) {
      read(callGeneration);
    } else {
      scheduler.schedule(retryDelay(consecutiveHistoryLosses), () -> read(callGeneration));
    }
    consecutiveHistoryLosses++;
  }

  private void onCallSucceeded() {
    if (consecutiveFailures > 0) {
      int failures = consecutiveFailures;
      consecutiveFailures = 0;
      log.record(
          Decision.of(DecisionEvent.STORE_REGAINED)
              .with("prefix", prefix)
              .with("failures", failures)
              .with("known_revision", state.position().revision()));
      reportRecovery();
    }
  }

  private void retryLater(Throwable failure, Runnable retry) {
    if (consecutiveFailures == 0) {
      log.record(
          Decision.of(DecisionEvent.STORE_LOST)
              .with("prefix", prefix)
              .with("known_revision", state.position().revision())
              .with("cause", String.valueOf(Failures.unwrap(failure).getMessage())));
    }
    scheduler.schedule(retryDelay(consecutiveFailures), retry);
    consecutiveFailures++;
  }

  private Duration retryDelay(int failures) {
    long longestNanos = RETRY_BACKOFF.after(failures).toNanos();
    return Duration.ofNanos((long) (longestNanos * (0.5 + 0.5 * random.getAsDouble())));
  }

  private boolean isStale(long callGeneration) {
    return !running || callGeneration != generation;
  }
}
