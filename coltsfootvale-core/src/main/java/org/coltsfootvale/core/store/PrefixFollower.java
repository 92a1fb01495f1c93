package org.coltsfootvale.core.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * When history is lost it reads everything anew. Failed calls are repeated with growing, random
 * pauses, so that a fleet which starts together stays within the store's rates. Confined to one
 * thread.
 */
public final class PrefixFollower implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final Backoff PAUSE = new Backoff(Duration.ofMillis(100), Duration.ofMillis(800));

  /** Hears of readings and changes. */
  public interface Listener {

    /** Takes all keys of the prefix. */
    void onReading(List<StoreEntry> entries);

    /** Takes one change. */
    void onChange(StoreEntry entry);

    /** Tells that the store answers again after calls have failed. */
    void onStoreReturned();
  }

  private final RevisionedStore store;
  private final String prefix;
  private final Listener listener;
  private final Duration wait;
  private final Duration settle;
  private final Duration firstWait;
  private final Scheduler scheduler;
  private final DoubleSupplier random;
  private final DecisionLog log;
  private final Map<String, StoreEntry> known = new HashMap<>();
  private long knownRevision;
  private long latestChange;
  private Consumer<PrefixUpdate> onUpdate = update -> {};
  private boolean running;
  private boolean reading;
  private long generation;
  private int failuresInRow;
  private boolean current;
  private boolean everRead;

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
      Listener listener,
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
    generation++;
    reading = true;
    current = false;
    readPage(generation, "", new ArrayList<>(), Long.MAX_VALUE);
  }

  /**
   * Calls the store for changes, or leaves that to another router that passes them on. What has
   * begun with a reading is left only once that reading is taken.
   *
   * @param called whether to call the store
   */
  public void follow(boolean called) {
    if (running && called && !reading) {
      reading = true;
      generation++;
      awaitChanges(generation, knownRevision);
    } else if (!called && reading && current()) {
      reading = false;
      generation++;
    }
  }

  /** Returns whether this router calls the store for changes. */
  public boolean reading() {
    return reading;
  }

  /**
   * Takes note that a call elsewhere has found the store back after an outage: the call under way
   * may have been lost in it without an error, and is replaced.
   */
  public void storeReturned() {
    if (running && reading && current()) {
      lapsed();
      generation++;
      awaitChanges(generation, knownRevision);
    }
  }

  /** Returns whether a whole reading was ever taken. */
  public boolean everRead() {
    return everRead;
  }

  /** Returns whether a whole reading was taken and no call of its own has failed since. */
  public boolean current() {
    return current && failuresInRow == 0;
  }

  private void readPage(long started, String afterKey, List<StoreEntry> read, long revision) {
    if (stale(started)) {
      return;
    }
    var unused =
        store
            .read(prefix, afterKey)
            .whenComplete(
                (page, failure) -> {
                  if (stale(started)) {
                    return;
                  }
                  if (failure != null) {
                    failed(failure, () -> readPage(started, afterKey, read, revision));
                  } else {
                    pageRead(started, page, read, Math.min(revision, page.revision()));
                  }
                });
  }

  private void pageRead(long started, StorePage page, List<StoreEntry> read, long revision) {
    succeeded();
    read.addAll(page.entries());
    if (!page.complete() && !page.entries().isEmpty()) {
      readPage(started, page.entries().get(page.entries().size() - 1).key(), read, revision);
      return;
    }
    current = true;
    if (revision >= knownRevision) {
      take(read, revision);
    }
    if (firstWait.isZero()) {
      awaitChanges(started, knownRevision);
    } else {
      scheduler.schedule(firstWait, () -> awaitChanges(started, knownRevision));
    }
  }

  private void awaitChanges(long started, long revision) {
    if (stale(started)) {
      return;
    }
    var unused =
        store
            .awaitChanges(prefix, revision, wait)
            .whenComplete(
                (changes, failure) -> {
                  if (stale(started)) {
                    return;
                  }
                  if (failure != null) {
                    changesFailed(started, failure);
                  } else {
                    succeeded();
                    take(changes);
                    awaitNext(started, changes);
                  }
                });
  }

  private void awaitNext(long started, StoreChanges changes) {
    if (changes.entries().isEmpty() || settle.isZero()) {
      awaitChanges(started, changes.revision());
    } else {
      scheduler.schedule(settle, () -> awaitChanges(started, changes.revision()));
    }
  }

  private void take(StoreChanges changes) {
    long base = latestChange;
    List<StoreEntry> news = new ArrayList<>();
    for (StoreEntry entry : changes.entries()) {
      if (changed(entry)) {
        news.add(entry);
      }
    }
    knownRevision = Math.max(knownRevision, changes.revision());
    if (!news.isEmpty()) {
      onUpdate.accept(new PrefixUpdate(prefix, base, knownRevision, news, false));
    }
  }

  private void take(List<StoreEntry> entries, long revision) {
    everRead = true;
    long base = latestChange;
    Map<String, StoreEntry> before = new HashMap<>(known);
    List<StoreEntry> news = new ArrayList<>();
    known.clear();
    for (StoreEntry entry : entries) {
      known.put(entry.key(), entry);
      latestChange = Math.max(latestChange, entry.revision());
      StoreEntry old = before.remove(entry.key());
      if (old == null || old.revision() != entry.revision()) {
        news.add(entry);
      }
    }
    before.keySet().forEach(key -> news.add(new StoreEntry(key, Optional.empty(), revision)));
    knownRevision = revision;
    listener.onReading(entries);
    if (!news.isEmpty()) {
      onUpdate.accept(new PrefixUpdate(prefix, base, revision, news, false));
    }
  }

  /**
   * Takes what another router passes on of its reading.
   *
   * @return false if something between what is known here and the update is missing, so that the
   *     other router has to be asked for all
   */
  public boolean learn(PrefixUpdate update) {
    if (update.storeReturned()) {
      lapsed();
    }
    if (knownRevision < update.baseRevision()) {
      return false;
    }
    take(new StoreChanges(update.entries(), update.revision()));
    return true;
  }

  /**
   * Takes what another router knows, if that is newer than what is known here.
   *
   * @param entries all keys of the prefix
   * @param revision the store's revision up to which they are known
   */
  public void learn(List<StoreEntry> entries, long revision) {
    if (revision <= knownRevision) {
      return;
    }
    boolean lagging = reading && current();
    if (lagging) {
      // The store was out of reach without a failure, so that entries may have lapsed meanwhile.
      lapsed();
    }
    take(entries, revision);
    if (lagging) {
      // The call under way may be lost, and what it tells is older than what is known now.
      generation++;
      awaitChanges(generation, revision);
    }
  }

  /** Returns all known keys of the prefix, for other routers. */
  public List<StoreEntry> known() {
    return List.copyOf(known.values());
  }

  /** Returns the revision of the latest change that was seen; 0 before the first. */
  public long latestChange() {
    return latestChange;
  }

  /** Returns the store's revision up to which the keys are known; 0 before the first reading. */
  public long knownRevision() {
    return knownRevision;
  }

  /** Returns the prefix. */
  public String prefix() {
    return prefix;
  }

  /**
   * Pages are read one after the other, so a change may be older than what a later page held; and
   * several routers may tell the same change. Returns whether it was news.
   */
  private boolean changed(StoreEntry entry) {
    latestChange = Math.max(latestChange, entry.revision());
    StoreEntry before = known.get(entry.key());
    boolean older = before != null && entry.revision() <= before.revision();
    if (older || entry.revision() <= knownRevision) {
      return false;
    }
    if (entry.value().isPresent()) {
      known.put(entry.key(), entry);
    } else {
      known.remove(entry.key());
    }
    listener.onChange(entry);
    return true;
  }

  /** Takes note that entries may have lapsed while the store was out of reach. */
  private void lapsed() {
    listener.onStoreReturned();
    onUpdate.accept(new PrefixUpdate(prefix, 0, 0, List.of(), true));
  }

  private void changesFailed(long started, Throwable failure) {
    if (Failures.unwrap(failure) instanceof StoreException known
        && known.fault() == StoreException.Fault.HISTORY_GONE) {
      LOGGER.atInfo().log("history of %s is gone; reading it anew", prefix);
      restart();
      return;
    }
    // A reading ends as soon as the store is back; a call for changes would end with the next one,
    // which would then be taken for what lapsed in the outage.
    failed(failure, () -> readPage(started, "", new ArrayList<>(), Long.MAX_VALUE));
  }

  private void succeeded() {
    if (failuresInRow > 0) {
      int failures = failuresInRow;
      failuresInRow = 0;
      log.record(
          Decision.of(DecisionEvent.STORE_REGAINED)
              .with("prefix", prefix)
              .with("failures", failures)
              .with("known_revision", knownRevision));
      lapsed();
    }
  }

  private void failed(Throwable failure, Runnable again) {
    if (failuresInRow == 0) {
      log.record(
          Decision.of(DecisionEvent.STORE_LOST)
              .with("prefix", prefix)
              .with("known_revision", knownRevision)
              .with("cause", String.valueOf(Failures.unwrap(failure).getMessage())));
    }
    Duration longest = PAUSE.after(failuresInRow);
    failuresInRow++;
    long pauseNanos = (long) (longest.toNanos() * (0.5 + 0.5 * random.getAsDouble()));
    scheduler.schedule(Duration.ofNanos(pauseNanos), again);
  }

  private boolean stale(long started) {
    return !running || started != generation;
  }
}
