package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UpdateTimingsTest {

  @DataProvider
  Object[][] fleets() {
    return new Object[][] {{1}, {6}, {84}, {300}, {1_000}};
  }

  @Test(dataProvider = "fleets")
  public void anUpdateOutlivesThreeIntervals(int routers) {
    Duration threeIntervals = UpdateTimings.interval(routers).multipliedBy(3);
    assertTrue(UpdateTimings.timeToLive(routers).compareTo(threeIntervals) > 0);
  }

  @Test(dataProvider = "fleets")
  public void theMessageRateOfARouterIsBounded(int routers) {
    double perSecond = routers * 1_000.0 / UpdateTimings.interval(routers).toMillis();
    assertTrue(perSecond <= 334, perSecond + " messages a second");
  }

  @Test
  public void updatesOfASmallFleetExpireAfterOneAndAHalfSeconds() {
    assertEquals(UpdateTimings.timeToLive(6), Duration.ofMillis(1_500));
  }
}
