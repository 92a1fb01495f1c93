package org.coltsfootvale.core.course;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

public class DefaultRepeatBudgetTest {

  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 52;
  private static final int ROUTERS = 6;
  private static final Duration WINDOW = Duration.ofSeconds(10);

  @Test
  public void theFleetStaysWithinTheRatioAndTheAllowance() {
    AtomicLong now = new AtomicLong();
    int requests = 0;
    int retries = 0;
    for (int router = 0; router < ROUTERS; router++) {
      RepeatBudget budget = budget(now);
      for (int i = 0; i < 100; i++) {
        budget.requestArrived("s");
        requests++;
        while (budget.tryAcquire("s")) {
          retries++;
        }
      }
    }
    assertTrue(retries > ALLOWANCE / 2, "retries: " + retries);
    assertTrue(retries <= RATIO * requests + ALLOWANCE, "retries: " + retries);
  }

  @Test
  public void theBudgetIsRestoredAfterTheWindow() {
    AtomicLong now = new AtomicLong();
    RepeatBudget budget = budget(now);
    int first = spendAll(budget);
    assertTrue(first > 0);
    assertFalse(budget.tryAcquire("s"));
    now.addAndGet(TimeUnit.SECONDS.toNanos(11));
    assertEquals(spendAll(budget), first);
  }

  @Test
  public void eachServiceHasItsOwnBudget() {
    AtomicLong now = new AtomicLong();
    RepeatBudget budget = budget(now);
    spendAll(budget);
    assertTrue(budget.tryAcquire("other"));
  }

  private static RepeatBudget budget(AtomicLong now) {
    return new DefaultRepeatBudget(RATIO, ALLOWANCE, WINDOW, () -> 1.0 / ROUTERS, now::get);
  }

  private static int spendAll(RepeatBudget budget) {
    int spent = 0;
    while (budget.tryAcquire("s")) {
      spent++;
    }
    return spent;
  }
}
