package org.coltsfootvale.core.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.decision.DecisionLog;
import org.testng.annotations.BeforeMethod;

/** A follower of a prefix of a scripted store that records the calls of its listener. */
abstract class PrefixFollowerFixture {

  ScriptedStore store = new ScriptedStore();
  List<String> events = new ArrayList<>();
  List<Runnable> scheduled = new ArrayList<>();
  final AtomicLong nowNanos = new AtomicLong();
  private long lastOrigin;
  Duration coalescingDelay = Duration.ZERO;
  Duration initialWatchDelay = Duration.ZERO;
  PrefixFollower follower = create();

  @BeforeMethod
  void reset() {
    store = new ScriptedStore();
    events = new ArrayList<>();
    scheduled = new ArrayList<>();
    coalescingDelay = Duration.ZERO;
    initialWatchDelay = Duration.ZERO;
    follower = create();
    follower.start();
  }

  static StorePosition restoredAt(long revision) {
    return new StorePosition(2, revision);
  }

  static PrefixUpdate update(long baseRevision, long revision, StoreEntry... entries) {
    return new PrefixUpdate(
        "p/", baseRevision, at(revision), List.of(entries), false, Optional.empty());
  }

  void readEmpty() {
    store.answer(new StorePage(List.of(), true, at(10)));
  }

  void runScheduled() {
    scheduled.remove(0).run();
  }

  PrefixFollower create() {
    PrefixListener listener =
        new PrefixListener() {
          @Override
          public void onFullRead(List<StoreEntry> entries) {
            StringBuilder text = new StringBuilder("full read");
            entries.forEach(entry -> text.append(' ').append(describe(entry)));
            events.add(text.toString());
          }

          @Override
          public void onRestored(List<StoreEntry> entries) {
            onFullRead(entries);
            events.add(events.remove(events.size() - 1).replace("full read", "restored"));
          }

          @Override
          public void onChange(StoreEntry entry) {
            events.add("change " + describe(entry));
          }

          @Override
          public void onStoreRecovered() {
            events.add("recovered");
          }
        };
    return new PrefixFollower(
        store,
        "p/",
        listener,
        new FollowTimings(Duration.ofSeconds(5), coalescingDelay, initialWatchDelay),
        (delay, task) -> scheduled.add(task),
        () -> 0.5,
        new RecoveryReports(++lastOrigin, nowNanos::get),
        DecisionLog.NONE);
  }

  static String describe(StoreEntry entry) {
    return entry.key() + "@" + entry.revision();
  }

  static final byte[] VALUE = "x".getBytes(StandardCharsets.UTF_8);

  static StorePosition at(long revision) {
    return new StorePosition(1, revision);
  }

  static StoreEntry entry(String key, long revision) {
    return new StoreEntry(key, Optional.of(VALUE), revision);
  }
}
