package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class HedgedReadStoreTest {

  private static final StorePage PAGE = new StorePage(List.of(), true, new StorePosition(1, 5));

  private ScriptedStore calls = new ScriptedStore();
  private List<Runnable> scheduled = new ArrayList<>();
  private HedgedReadStore store = create();

  @BeforeMethod
  void reset() {
    calls = new ScriptedStore();
    scheduled = new ArrayList<>();
    store = create();
  }

  @Test
  public void answeredReadIsSentOnce() {
    CompletableFuture<StorePage> result = store.read("p/", "");
    calls.answer(PAGE);
    scheduled.forEach(Runnable::run);
    assertEquals(result.join(), PAGE);
    assertEquals(calls.calls.size(), 1);
  }

  @Test
  public void unansweredReadIsSentAgainAndTheFirstAnswerIsUsed() {
    CompletableFuture<StorePage> result = store.read("p/", "");
    scheduled.forEach(Runnable::run);
    assertEquals(calls.calls, List.of("read p/ after ''", "read p/ after ''"));
    calls.answer(PAGE);
    assertEquals(result.join(), PAGE);
  }

  @Test
  public void failedReadIsNotSentAgain() {
    CompletableFuture<StorePage> result = store.read("p/", "");
    calls.fail(StoreException.Fault.REFUSED);
    scheduled.forEach(Runnable::run);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(calls.calls.size(), 1);
  }

  @Test
  public void readFailsOnlyWhenBothCallsFail() {
    CompletableFuture<StorePage> result = store.read("p/", "");
    scheduled.forEach(Runnable::run);
    calls.fail(StoreException.Fault.NO_ANSWER);
    assertFalse(result.isDone());
    calls.fail(StoreException.Fault.NO_ANSWER);
    assertTrue(result.isCompletedExceptionally());
  }

  private HedgedReadStore create() {
    return new HedgedReadStore(calls, (delay, task) -> scheduled.add(task));
  }
}
