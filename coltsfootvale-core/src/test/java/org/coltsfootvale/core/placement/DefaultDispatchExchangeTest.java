package org.coltsfootvale.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class DefaultDispatchExchangeTest {

  private static final EngineId ENGINE = new EngineId("e1");
  private static final EngineId OTHER_ENGINE = new EngineId("e2");

  private final Map<RouterId, RouterView> routers = new HashMap<>();
  private ManualClock clock = new ManualClock();
  private DispatchExchange exchange = create();

  @BeforeMethod
  void reset() {
    clock = new ManualClock();
    routers.clear();
    for (int i = 0; i < 3; i++) {
      set(i, Liveness.LIVE);
    }
    exchange = create();
  }

  private DispatchExchange create() {
    return new DefaultDispatchExchange(
        name(0, 1),
        () -> new FleetView(1, Map.of(), routers),
        clock,
        DispatchExchangeOptions.DEFAULT);
  }

  private static RouterIncarnation name(int index, long incarnation) {
    return new RouterIncarnation(new RouterId("r" + index), incarnation);
  }

  private void set(int index, Liveness liveness) {
    HostPort address = new HostPort("127.0.0.1", 1);
    RouterIncarnation name = name(index, 1);
    routers.put(
        name.id(),
        new RouterView(name, liveness, new DataCentreId("dc"), address, address, null, 1));
  }

  private static DispatchCounts.Count count(EngineId engine, int requests) {
    return new DispatchCounts.Count(engine, requests, 10L * requests);
  }

  private static DispatchCounts complete(DispatchCounts.Count... counts) {
    return new DispatchCounts(true, List.of(counts));
  }

  private static DispatchCounts changes(DispatchCounts.Count... counts) {
    return new DispatchCounts(false, List.of(counts));
  }

  public void theSumIsUnknownUntilEveryLivePeerHasSentCounts() {
    exchange.onCounts(name(1, 1), complete(count(ENGINE, 2)));
    assertTrue(exchange.countAt(ENGINE).isEmpty());
    exchange.onCounts(name(2, 1), complete(count(ENGINE, 3)));
    assertEquals(exchange.countAt(ENGINE), Optional.of(count(ENGINE, 5)));
  }

  public void aPeerWithExpiredCountsMakesTheSumUnknownUntilItIsDead() {
    exchange.onCounts(name(1, 1), complete());
    clock.advance(Duration.ofSeconds(1));
    exchange.onCounts(name(2, 1), complete(count(ENGINE, 3)));
    clock.advance(Duration.ofSeconds(1));
    assertTrue(exchange.countAt(ENGINE).isEmpty());
    set(1, Liveness.DEAD);
    assertEquals(exchange.countAt(ENGINE), Optional.of(count(ENGINE, 3)));
  }

  public void changesAreMergedIntoTheCompleteCounts() {
    set(2, Liveness.DEAD);
    exchange.onCounts(name(1, 1), complete(count(ENGINE, 2), count(OTHER_ENGINE, 1)));
    exchange.onCounts(name(1, 1), changes(count(ENGINE, 0)));
    assertEquals(exchange.countAt(ENGINE), Optional.of(count(ENGINE, 0)));
    assertEquals(exchange.countAt(OTHER_ENGINE), Optional.of(count(OTHER_ENGINE, 1)));
  }

  public void aNewIncarnationStartsFromItsOwnCompleteCounts() {
    set(2, Liveness.DEAD);
    exchange.onCounts(name(1, 1), complete(count(ENGINE, 9)));
    exchange.onCounts(name(1, 2), changes(count(OTHER_ENGINE, 1)));
    assertEquals(exchange.countAt(ENGINE), Optional.of(count(ENGINE, 9)));
    exchange.onCounts(name(1, 2), complete(count(OTHER_ENGINE, 1)));
    exchange.onCounts(name(1, 1), complete(count(ENGINE, 9)));
    assertEquals(exchange.countAt(ENGINE), Optional.of(count(ENGINE, 0)));
  }

  public void onlyChangesAreSentBetweenCompleteMessages() {
    assertEquals(exchange.dueMessages(complete(count(ENGINE, 1))).size(), 2);
    assertTrue(exchange.dueMessages(complete(count(ENGINE, 1))).isEmpty());
    DispatchCounts change = exchange.dueMessages(complete(count(OTHER_ENGINE, 1))).get(0).counts();
    assertFalse(change.complete());
    assertEquals(change.counts(), List.of(count(OTHER_ENGINE, 1), count(ENGINE, 0)));
    clock.advance(Duration.ofSeconds(1));
    assertTrue(exchange.dueMessages(complete(count(OTHER_ENGINE, 1))).get(0).counts().complete());
  }

  public void aLargeFleetExchangesNothing() {
    for (int i = 3; i < 40; i++) {
      set(i, Liveness.LIVE);
    }
    assertTrue(exchange.dueMessages(complete(count(ENGINE, 1))).isEmpty());
    assertTrue(exchange.countAt(ENGINE).isEmpty());
  }
}
