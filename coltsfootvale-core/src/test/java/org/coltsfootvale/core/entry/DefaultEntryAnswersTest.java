package org.coltsfootvale.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.testng.annotations.Test;

public final class DefaultEntryAnswersTest {

  private static final int ANSWERS = 4_000;

  private final Map<RouterId, RouterView> routers = new HashMap<>();

  @Test
  public void aMoreLoadedRouterGetsFewerCallers() {
    routers.clear();
    add("idle", "near", Liveness.LIVE, 0);
    add("half", "near", Liveness.LIVE, 128);
    add("full", "near", Liveness.LIVE, 255);

    Map<RouterId, Integer> firsts = countFirsts();

    assertTrue(count(firsts, "idle") > count(firsts, "half"));
    assertTrue(count(firsts, "half") > count(firsts, "full"));
    assertTrue(count(firsts, "full") > 0);
  }

  @Test
  public void routersOfTheOwnDataCentreComeFirstAndOneOfAnotherLast() {
    routers.clear();
    add("n1", "near", Liveness.LIVE, 0);
    add("n2", "near", Liveness.LIVE, 0);
    add("n3", "near", Liveness.LIVE, 0);
    add("f1", "far", Liveness.LIVE, 0);

    for (int round = 0; round < 100; round++) {
      EntryAnswer answer = answers().answer();
      assertEquals(answer.addresses().size(), EntryOptions.DEFAULT.addressesMax());
      assertTrue(answer.first().id().value().startsWith("n"));
      assertEquals(answer.addresses().get(2), address("f1"));
    }
  }

  @Test
  public void onlyLiveRoutersAreReturned() {
    routers.clear();
    add("live", "near", Liveness.LIVE, 255);
    add("leaving", "near", Liveness.LEAVING, 0);
    add("suspect", "near", Liveness.SUSPECT, 0);
    add("dead", "far", Liveness.DEAD, 0);

    EntryAnswer answer = answers().answer();

    assertEquals(answer.addresses().size(), 1);
    assertEquals(answer.first().id(), new RouterId("live"));
  }

  @Test
  public void withoutALiveRouterAnExceptionIsThrown() {
    routers.clear();

    assertThrows(ColtsfootvaleException.class, () -> answers().answer());
  }

  private DefaultEntryAnswers answers() {
    return new DefaultEntryAnswers(
        new DataCentreId("near"),
        EntryOptions.DEFAULT,
        () -> new FleetView(1, Map.of(), routers),
        RandomSource.XO_RO_SHI_RO_128_PP.create(7));
  }

  private Map<RouterId, Integer> countFirsts() {
    DefaultEntryAnswers answers = answers();
    Map<RouterId, Integer> firsts = new HashMap<>();
    for (int round = 0; round < ANSWERS; round++) {
      firsts.merge(answers.answer().first().id(), 1, Integer::sum);
    }
    return firsts;
  }

  private static int count(Map<RouterId, Integer> firsts, String name) {
    return firsts.getOrDefault(new RouterId(name), 0);
  }

  private void add(String name, String dataCentre, Liveness liveness, int load) {
    RouterId id = new RouterId(name);
    routers.put(
        id,
        new RouterView(
            new RouterIncarnation(id, 1),
            liveness,
            new DataCentreId(dataCentre),
            address(name),
            address(name),
            load,
            0));
  }

  private static HostPort address(String name) {
    return new HostPort("10.0.0." + (name.hashCode() & 127), 80);
  }
}
