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
  public void allRoutersTogetherStayWithinTheRatioAndTheAllowance() {
    AtomicLong now = new AtomicLong();
    int requests = 0;
    int repeats = 0;
    for (int router = 0; router < ROUTERS; router++) {
      RepeatBudget budget = budget(now);
      for (int i = 0; i < 100; i++) {
        budget.requestArrived("s");
        requests++;
        while (budget.tryAcquire("s")) {
          repeats++;
        }
      }
    }
    assertTrue(repeats > ALLOWANCE / 2, "repeats: " + repeats);
    assertTrue(repeats <= RATIO * requests + ALLOWANCE, "repeats: " + repeats);
  }

  @Test
  public void theBudgetRecoversAfterTheWindow() {
    AtomicLong now = new AtomicLong();
    RepeatBudget budget = budget(now);
    int first = spend(budget);
    assertTrue(first > 0);
    assertFalse(budget.tryAcquire("s"));
    now.addAndGet(TimeUnit.SECONDS.toNanos(11));
    assertEquals(spend(budget), first);
  }

  @Test
  public void eachServiceHasABudgetOfItsOwn() {
    AtomicLong now = new AtomicLong();
    RepeatBudget budget = budget(now);
    spend(budget);
    assertTrue(budget.tryAcquire("other"));
  }

  private static RepeatBudget budget(AtomicLong now) {
    return new DefaultRepeatBudget(RATIO, ALLOWANCE, WINDOW, () -> 1.0 / ROUTERS, now::get);
  }

  private static int spend(RepeatBudget budget) {
    int spent = 0;
    while (budget.tryAcquire("s")) {
      spent++;
    }
    return spent;
  }
}
