package org.coltsfootvale.core.release;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.release.WeakenedStore.Weakness;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs each failure with and without its safeguard. */
public class ReleaseLogSafeguardTest {

  private static final ModelId LATE_MODEL = new ModelId("m-late");

  @DataProvider
  public Object[][] horizons() {
    return new Object[][] {{Weakness.NONE, true}, {Weakness.HORIZON_HIDDEN, false}};
  }

  @Test(dataProvider = "horizons")
  public void noteOfPausedRouterIsAppliedOnlyIfHorizonIsRead(Weakness weakness, boolean applied) {
    ScriptedKeyValueStore store = new ScriptedKeyValueStore();
    DefaultReleaseLog writer = log(store, Weakness.NONE);
    DefaultReleaseLog paused = log(store, weakness);
    submitModels(writer, 1, 1);
    CompletableFuture<AcceptedNote> late = submitAndHoldCommit(store, paused);
    submitModels(writer, 2, 13);
    store.releaseHeld();
    late.join();
    writer.refresh().join();
    assertEquals(writer.current().models().containsKey(LATE_MODEL), applied);
  }

  @DataProvider
  public Object[][] creates() {
    return new Object[][] {{Weakness.NONE, true}, {Weakness.CREATE_OVERWRITES, false}};
  }

  @Test(dataProvider = "creates")
  public void concurrentSubmittersAgreeOnlyIfCreateDoesNotOverwrite(
      Weakness weakness, boolean agree) {
    ScriptedKeyValueStore store = new ScriptedKeyValueStore();
    DefaultReleaseLog first = log(store, weakness);
    DefaultReleaseLog second = log(store, weakness);
    CompletableFuture<AcceptedNote> late = submitAndHoldCommit(store, second);
    submitModels(first, 1, 1);
    store.releaseHeld();
    late.join();
    first.refresh().join();
    second.refresh().join();
    assertEquals(first.current().equals(second.current()), agree);
  }

  /** Submits a note and holds the call that would commit it. */
  private static CompletableFuture<AcceptedNote> submitAndHoldCommit(
      ScriptedKeyValueStore store, DefaultReleaseLog log) {
    store.setFault(Fault.HOLD_CALLS);
    CompletableFuture<AcceptedNote> late = log.submit(Notes.model("late", LATE_MODEL.value()));
    int creates = store.calls(ScriptedKeyValueStore.Call.CREATE);
    while (store.calls(ScriptedKeyValueStore.Call.CREATE) == creates) {
      store.releaseNext();
    }
    store.setFault(Fault.NONE);
    return late;
  }

  private static void submitModels(DefaultReleaseLog log, int from, int to) {
    for (int i = from; i <= to; i++) {
      log.submit(Notes.model("n" + i, "m" + i)).join();
    }
  }

  private static DefaultReleaseLog log(ScriptedKeyValueStore store, Weakness weakness) {
    return new DefaultReleaseLog(
        new WeakenedStore(store, weakness),
        new YamlReleaseNoteCodec(),
        new DefaultFleetStateReducer(),
        () -> Instant.ofEpochMilli(1000),
        new ReleaseLogLimits(4, 4, 900_000));
  }
}
