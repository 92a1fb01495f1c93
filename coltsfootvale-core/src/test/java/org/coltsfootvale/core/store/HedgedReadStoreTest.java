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
  private List<Runnable> later = new ArrayList<>();
  private HedgedReadStore store = create();

  @BeforeMethod
  void reset() {
    calls = new ScriptedStore();
    later = new ArrayList<>();
    store = create();
  }

  @Test
  public void aReadingThatIsAnsweredIsSentOnce() {
    CompletableFuture<StorePage> reading = store.read("p/", "");
    calls.answer(PAGE);
    later.forEach(Runnable::run);
    assertEquals(reading.join(), PAGE);
    assertEquals(calls.calls.size(), 1);
  }

  @Test
  public void aReadingThatStaysSilentIsSentAgainAndTheFirstAnswerCounts() {
    CompletableFuture<StorePage> reading = store.read("p/", "");
    later.forEach(Runnable::run);
    assertEquals(calls.calls, List.of("read p/ after ''", "read p/ after ''"));
    calls.answer(PAGE);
    assertEquals(reading.join(), PAGE);
  }

  @Test
  public void aReadingThatFailsAtOnceIsLeftToTheCaller() {
    CompletableFuture<StorePage> reading = store.read("p/", "");
    calls.fail(StoreException.Fault.REFUSED);
    later.forEach(Runnable::run);
    assertTrue(reading.isCompletedExceptionally());
    assertEquals(calls.calls.size(), 1);
  }

  @Test
  public void aReadingFailsOnlyWhenBothOfItsCallsHave() {
    CompletableFuture<StorePage> reading = store.read("p/", "");
    later.forEach(Runnable::run);
    calls.fail(StoreException.Fault.NO_ANSWER);
    assertFalse(reading.isDone());
    calls.fail(StoreException.Fault.NO_ANSWER);
    assertTrue(reading.isCompletedExceptionally());
  }

  private HedgedReadStore create() {
    return new HedgedReadStore(calls, (delay, task) -> later.add(task));
  }
}
