package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class StoreEraTest {

  private final List<Long> newEras = new ArrayList<>();
  private final List<Decision> decisions = new ArrayList<>();
  private StoreEra era = new StoreEra();

  @BeforeMethod
  void reset() {
    newEras.clear();
    decisions.clear();
    era = new StoreEra();
    era.onNewEra(newEras::add);
    era.logTo(decisions::add);
  }

  @Test
  public void firstObservedEraIsNoRestore() {
    assertTrue(era.observe(4));
    assertEquals(newEras, List.of());
    assertEquals(decisions, List.of());
  }

  @Test
  public void newEraIsReportedAndLoggedOnce() {
    era.observe(4);
    assertTrue(era.observe(5));
    assertTrue(era.observe(5));
    assertEquals(newEras, List.of(5L));
    assertEquals(decisions.size(), 1);
    assertEquals(decisions.get(0).event(), DecisionEvent.STORE_RESTORED);
  }

  @Test
  public void answerOfAnEarlierEraIsOutdated() {
    era.observe(4);
    era.observe(5);
    assertFalse(era.observe(4));
    assertEquals(era.latest(), 5);
  }
}
