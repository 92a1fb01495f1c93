package org.coltsfootvale.core.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootvale.core.decision.DecisionLog;
import org.testng.annotations.BeforeMethod;

/** A follower of a prefix of a scripted store, and what it tells. */
abstract class PrefixFollowerFixture {

  ScriptedStore store = new ScriptedStore();
  List<String> told = new ArrayList<>();
  List<Runnable> later = new ArrayList<>();
  Duration settle = Duration.ZERO;
  Duration firstWait = Duration.ZERO;
  PrefixFollower follower = create();

  @BeforeMethod
  void reset() {
    store = new ScriptedStore();
    told = new ArrayList<>();
    later = new ArrayList<>();
    settle = Duration.ZERO;
    firstWait = Duration.ZERO;
    follower = create();
    follower.start();
  }

  static StorePosition restoredAt(long revision) {
    return new StorePosition(2, revision);
  }

  static PrefixUpdate update(long base, long revision, StoreEntry... entries) {
    return new PrefixUpdate("p/", base, at(revision), List.of(entries), false, false);
  }

  void readEmpty() {
    store.answer(new StorePage(List.of(), true, at(10)));
  }

  void runLater() {
    later.remove(0).run();
  }

  PrefixFollower create() {
    PrefixListener listener =
        new PrefixListener() {
          @Override
          public void onFullRead(List<StoreEntry> entries) {
            StringBuilder text = new StringBuilder("reading");
            entries.forEach(entry -> text.append(' ').append(describe(entry)));
            told.add(text.toString());
          }

          @Override
          public void onRestored(List<StoreEntry> entries) {
            onFullRead(entries);
            told.add(told.remove(told.size() - 1).replace("reading", "restored"));
          }

          @Override
          public void onChange(StoreEntry entry) {
            told.add("change " + describe(entry));
          }

          @Override
          public void onStoreRecovered() {
            told.add("returned");
          }
        };
    return new PrefixFollower(
        store,
        "p/",
        listener,
        Duration.ofSeconds(5),
        settle,
        firstWait,
        (delay, task) -> later.add(task),
        () -> 0.5,
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
