package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fleets in which every router forwards updates to all others, as when the views of the fleet
 * differ during restarts. Guards against updates that circulate without end.
 */
@Test(singleThreaded = true)
public class UpdateForwardingTest extends PrefixFollowerFixture {

  private final List<PrefixFollower> fleet = new ArrayList<>();
  private final List<ScriptedStore> stores = new ArrayList<>();
  private final Deque<Runnable> messages = new ArrayDeque<>();
  private int[] sentBy = {};

  @DataProvider
  Object[][] fleetSizes() {
    return new Object[][] {{2}, {14}, {84}, {300}};
  }

  @Test(dataProvider = "fleetSizes")
  public void eachRouterForwardsARecoveryAtMostOnce(int size) {
    startFleet(size);
    stores.get(0).fail(StoreException.Fault.NO_ANSWER);
    runScheduled();
    stores.get(0).answer(new StorePage(List.of(), true, at(10)));
    deliver();
    assertEquals(events.stream().filter("recovered"::equals).count(), size);
  }

  @Test(dataProvider = "fleetSizes")
  public void eachRouterForwardsAChangeAtMostOnce(int size) {
    startFleet(size);
    stores.get(0).answer(new StoreChanges(List.of(entry("p/a", 11)), at(12)));
    deliver();
    assertEquals(events.stream().filter("change p/a@11"::equals).count(), size);
  }

  /** The reports of many observers are combined, so that they do not add up to a burst. */
  @Test(dataProvider = "fleetSizes")
  public void aRouterSendsOneReportWhenAllRoutersObserveARecovery(int size) {
    startFleet(size);
    stores.forEach(each -> each.fail(StoreException.Fault.NO_ANSWER));
    List.copyOf(scheduled).forEach(Runnable::run);
    stores.forEach(each -> each.answer(new StorePage(List.of(), true, at(10))));
    deliver();
    assertTrue(Arrays.stream(sentBy).allMatch(count -> count == 1), Arrays.toString(sentBy));
  }

  private void startFleet(int size) {
    fleet.clear();
    stores.clear();
    messages.clear();
    sentBy = new int[size];
    for (int i = 0; i < size; i++) {
      store = new ScriptedStore();
      PrefixFollower router = create();
      router.start();
      readEmpty();
      stores.add(store);
      fleet.add(router);
    }
    IntStream.range(0, size).forEach(i -> fleet.get(i).onUpdate(update -> forward(i, update)));
  }

  private void forward(int sender, PrefixUpdate update) {
    sentBy[sender]++;
    assertTrue(sentBy[sender] <= 1, "router " + sender + " sent the same update again");
    for (int i = 0; i < fleet.size(); i++) {
      if (i != sender) {
        int to = i;
        messages.add(() -> fleet.get(to).apply(update));
      }
    }
  }

  private void deliver() {
    while (!messages.isEmpty()) {
      messages.remove().run();
    }
  }
}
