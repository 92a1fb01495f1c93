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
 * Keeps up with all keys of a prefix: a whole reading first, and then one change after the other.
 * When history is lost, or the store was restored from a copy, it reads everything anew. Failed
 * calls are repeated with growing, random pauses, so that a fleet which starts together stays
 * within the store's rates. Confined to one thread.
 */
public final class PrefixFollower implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final Backoff PAUSE = new Backoff(Duration.ofMillis(100), Duration.ofMillis(800));

  /** The time over which the readers of a fleet spread their readings after a restore. */
  private static final Duration RESTORED_SPREAD = Duration.ofMillis(400);

  private final RevisionedStore store;
  private final String prefix;
  private final PrefixListener listener;
  private final Duration wait;
  private final Duration settle;
  private final Duration firstWait;
  private final Scheduler scheduler;
  private final DoubleSupplier random;
  private final DecisionLog log;
  private final PrefixState currentEntries = new PrefixState();
  private Consumer<PrefixUpdate> onUpdate = update -> {};
  private boolean running;
  private boolean readsStore;
  private long generation;
  private int failuresInRow;
  private int historyLossesInRow;
  private boolean current;
  private boolean initialised;

  /**
   * Creates a follower.
   *
   * @param store the store
   * @param prefix the beginning of the keys
   * @param listener hears of readings and changes
   * @param wait the longest wait of one call for changes
   * @param settle the pause after a change, in which further ones gather at the store
   * @param firstWait the pause after a whole reading, in which a router may be heard that reads the
   *     changes for this one
   * @param scheduler runs the next call
   * @param random gives numbers in [0, 1) that spread pauses
   * @param log takes the loss and the return of the store
   */
  public PrefixFollower(
      RevisionedStore store,
      String prefix,
      PrefixListener listener,
      Duration wait,
      Duration settle,
      Duration firstWait,
      Scheduler scheduler,
      DoubleSupplier random,
      DecisionLog log) {
    this.store = store;
    this.prefix = prefix;
    this.listener = listener;
    this.wait = wait;
    this.settle = settle;
    this.firstWait = firstWait;
    this.scheduler = scheduler;
    this.random = random;
    this.log = log;
    store.era().onNewEra(this::onEraRise);
  }

  /** Hands each update that was news to this router to a consumer, which may pass it on. */
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

  /** Abandons the calls under way and reads everything anew, for example after a pause. */
  public void restart() {
    abandonCalls();
    read(generation);
  }

  /** Reads everything anew when the store was restored, unless another router does. */
  private void onEraRise(long era) {
    if (running && readsStore && currentEntries.position().era() < era) {
      abandonCalls();
      long started = generation;
      scheduler.schedule(
          Duration.ofNanos((long) (RESTORED_SPREAD.toNanos() * random.getAsDouble())),
          () -> read(started));
    }
  }

  private void abandonCalls() {
    generation++;
    readsStore = true;
    current = false;
  }

  /**
   * Calls the store for changes, or leaves that to another router that passes them on. What has
   * begun with a reading is left only once that reading is taken.
   *
   * @param called whether to call the store
   */
  public void setReadsStore(boolean called) {
    if (running && called && !readsStore) {
      readsStore = true;
      generation++;
      awaitChanges(generation);
    } else if (!called && readsStore && current()) {
      readsStore = false;
      generation++;
    }
  }

  /** Returns whether this router calls the store for changes. */
  public boolean readsStore() {
    return readsStore;
  }

  /**
   * Takes note that a call elsewhere has found the store back after an outage: the call under way
   * may have been lost in it without an error, and is replaced.
   */
  public void onStoreRecovered() {
    if (running && readsStore && current()) {
      lapsed();
      generation++;
      awaitChanges(generation);
    }
  }

  /** Returns whether a whole reading was ever taken. */
  public boolean initialised() {
    return initialised;
  }

  /** Returns whether a whole reading was taken and no call of its own has failed since. */
  public boolean current() {
    return current && failuresInRow == 0;
  }

  private void read(long started) {
    if (stale(started)) {
      return;
    }
    var unused =
        FullRead.of(store, prefix)
            .whenComplete(
                (whole, failure) -> {
                  if (stale(started)) {
                    return;
                  }
                  if (failure != null) {
                    readFailed(started, failure);
                  } else {
                    succeeded();
                    read(started, whole);
                  }
                });
  }

  private void read(long started, StorePage whole) {
    current = true;
    if (!whole.position().isBefore(currentEntries.position())) {
      take(whole.entries(), whole.position());
    }
    if (firstWait.isZero()) {
      awaitChanges(started);
    } else {
      scheduler.schedule(firstWait, () -> awaitChanges(started));
    }
  }

  private void awaitChanges(long started) {
    if (stale(started)) {
      return;
    }
    var unused =
        store
            .awaitChanges(prefix, currentEntries.position().revision(), wait)
            .whenComplete(
                (changes, failure) -> {
                  if (stale(started)) {
                    return;
                  }
                  if (failure != null) {
                    readFailed(started, failure);
                  } else {
                    succeeded();
                    take(started, changes);
                  }
                });
  }

  private void take(long started, StoreChanges changes) {
    if (changes.position().era() != currentEntries.position().era()) {
      historyLost("the store was restored");
      return;
    }
    historyLossesInRow = 0;
    takeChanges(changes.entries(), changes.position());
    if (changes.entries().isEmpty() || settle.isZero()) {
      awaitChanges(started);
    } else {
      scheduler.schedule(settle, () -> awaitChanges(started));
    }
  }

  private void takeChanges(List<StoreEntry> changes, StorePosition position) {
    long base = currentEntries.latestChange().revision();
    List<StoreEntry> news = currentEntries.applyChanges(changes, position);
    news.forEach(listener::onChange);
    if (!news.isEmpty()) {
      onUpdate.accept(
          new PrefixUpdate(prefix, base, currentEntries.position(), news, false, false));
    }
  }

  private void take(List<StoreEntry> entries, StorePosition position) {
    initialised = true;
    long base = currentEntries.latestChange().revision();
    boolean restored = currentEntries.precedesEraOf(position);
    if (restored) {
      lapsed();
    }
    List<StoreEntry> news = currentEntries.replaceAll(entries, position);
    if (restored) {
      listener.onRestored(entries);
      onUpdate.accept(new PrefixUpdate(prefix, 0, position, entries, true, false));
    } else {
      listener.onFullRead(entries);
      if (!news.isEmpty()) {
        onUpdate.accept(new PrefixUpdate(prefix, base, position, news, false, false));
      }
    }
    store.era().observe(position.era());
  }

  /**
   * Takes what another router passes on of its reading.
   *
   * @return false if something between what is known here and the update is missing, so that the
   *     other router has to be asked for all
   */
  public boolean apply(PrefixUpdate update) {
    if (update.storeRecovered()) {
      lapsed();
      return true;
    }
    if (update.full()) {
      apply(update.entries(), update.position());
      return true;
    }
    if (update.position().era() < currentEntries.position().era()) {
      return true;
    }
    if (currentEntries.precedesEraOf(update.position())
        || currentEntries.position().revision() < update.baseRevision()) {
      return false;
    }
    takeChanges(update.entries(), update.position());
    return true;
  }

  /**
   * Takes all that another router knows, if that is newer than what is known here.
   *
   * @param entries all keys of the prefix
   * @param position the store's position up to which they are known
   */
  public void apply(List<StoreEntry> entries, StorePosition position) {
    if (!currentEntries.position().isBefore(position)) {
      return;
    }
    boolean lagging = readsStore && current();
    if (lagging) {
      // The store was out of reach without a failure, so that entries may have lapsed meanwhile.
      lapsed();
    }
    take(entries, position);
    if (lagging) {
      // The call under way may be lost, and what it tells is older than what is known now.
      generation++;
      awaitChanges(generation);
    }
  }

  /** Returns all known keys of the prefix, for other routers. */
  public List<StoreEntry> currentEntries() {
    return currentEntries.all();
  }

  /** Returns the position of the latest change that was seen. */
  public StorePosition latestChange() {
    return currentEntries.latestChange();
  }

  /** Returns the store's position up to which the keys are known. */
  public StorePosition position() {
    return currentEntries.position();
  }

  /** Returns the prefix. */
  public String prefix() {
    return prefix;
  }

  /** Takes note that entries may have lapsed while the store was out of reach. */
  private void lapsed() {
    listener.onStoreRecovered();
    onUpdate.accept(PrefixUpdate.ofStoreRecovery(prefix));
  }

  private void readFailed(long started, Throwable failure) {
    if (Failures.unwrap(failure) instanceof StoreException known
        && known.fault() == StoreException.Fault.HISTORY_GONE) {
      historyLost(String.valueOf(known.getMessage()));
      return;
    }
    // A reading ends as soon as the store is back; a call for changes would end with the next one,
    // which would then be taken for what lapsed in the outage.
    failed(failure, () -> read(started));
  }

  /** Reads everything anew: at once, but after a pause if the last reading was of no use. */
  private void historyLost(String cause) {
    LOGGER.atInfo().log("%s; reading %s anew", cause, prefix);
    abandonCalls();
    long started = generation;
    if (historyLossesInRow == 0) {
      read(started);
    } else {
      scheduler.schedule(pauseAfter(historyLossesInRow), () -> read(started));
    }
    historyLossesInRow++;
  }

  private void succeeded() {
    if (failuresInRow > 0) {
      int failures = failuresInRow;
      failuresInRow = 0;
      log.record(
          Decision.of(DecisionEvent.STORE_REGAINED)
              .with("prefix", prefix)
              .with("failures", failures)
              .with("known_revision", currentEntries.position().revision()));
      lapsed();
    }
  }

  private void failed(Throwable failure, Runnable again) {
    if (failuresInRow == 0) {
      log.record(
          Decision.of(DecisionEvent.STORE_LOST)
              .with("prefix", prefix)
              .with("known_revision", currentEntries.position().revision())
              .with("cause", String.valueOf(Failures.unwrap(failure).getMessage())));
    }
    scheduler.schedule(pauseAfter(failuresInRow), again);
    failuresInRow++;
  }

  private Duration pauseAfter(int failures) {
    long longestNanos = PAUSE.after(failures).toNanos();
    return Duration.ofNanos((long) (longestNanos * (0.5 + 0.5 * random.getAsDouble())));
  }

  private boolean stale(long started) {
    return !running || started != generation;
  }
}
