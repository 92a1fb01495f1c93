package org.coltsfootvale.core.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.release.DefaultFleetStateReducer;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.Notes;
import org.coltsfootvale.core.release.PoolSpec;
import org.coltsfootvale.core.release.YamlReleaseNoteCodec;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Call;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DefaultOrderSenderTest {

  private static final EngineId ENGINE = new EngineId("engine-1");
  private static final int CONVERGENCE_SECONDS = 60;

  private ScriptedKeyValueStore store = new ScriptedKeyValueStore();
  private FleetState state = FleetState.empty();
  private long nowNanos;

  @BeforeMethod
  public void reset() {
    store = new ScriptedKeyValueStore();
    state = new DefaultFleetStateReducer().apply(FleetState.empty(), Notes.fleet());
    nowNanos = 0;
  }

  @Test
  public void engineReceivesTargetOnce() {
    FakeEngines engines = new FakeEngines(true);
    DefaultOrderSender sender = sender("a", engines);
    run(CONVERGENCE_SECONDS, sender);
    assertEquals(engines.state(ENGINE).target(), target());
    assertEquals(engines.sent(), 1);
  }

  @Test
  public void changedTargetIsOrdered() {
    FakeEngines engines = new FakeEngines(false);
    DefaultOrderSender sender = sender("a", engines);
    run(CONVERGENCE_SECONDS, sender);
    changeTarget();
    run(CONVERGENCE_SECONDS, sender);
    assertEquals(engines.state(ENGINE).target(), target());
  }

  @Test
  public void onlyLeaseHolderSendsOrders() {
    FakeEngines engines = new FakeEngines(true);
    run(CONVERGENCE_SECONDS, sender("a", engines), sender("b", engines));
    assertEquals(engines.sent(), 1);
  }

  @Test
  public void pausedSenderDoesNotSendAfterLeaseExpiry() {
    FakeEngines engines = new FakeEngines(false);
    DefaultOrderSender paused = sender("a", engines);
    run(CONVERGENCE_SECONDS, paused);
    DefaultOrderSender next = sender("b", engines);
    run(CONVERGENCE_SECONDS, next);
    changeTarget();
    store.setFault(Fault.OUTAGE);
    int before = engines.sent();
    paused.tick();
    assertEquals(engines.sent(), before);
  }

  @Test
  public void delayedOrderOfFormerSenderIsRefusedByFencingEngine() {
    FakeEngines engines = new FakeEngines(true);
    deliverDelayedOrderOfFormerSender(engines);
    assertEquals(engines.state(ENGINE).target(), target());
  }

  @Test
  public void delayedOrderOfFormerSenderIsRepairedAtNonFencingEngine() {
    FakeEngines engines = new FakeEngines(false);
    DefaultOrderSender next = deliverDelayedOrderOfFormerSender(engines);
    assertTrue(!Objects.equals(engines.state(ENGINE).target(), target()));
    run((int) OrderTimings.DEFAULT.repairInterval().toSeconds() + 2, next);
    assertEquals(engines.state(ENGINE).target(), target());
  }

  @Test
  public void leaseWithLostReplyIsReadBack() {
    FakeEngines engines = new FakeEngines(true);
    DefaultOrderSender sender = sender("a", engines);
    store.loseReplies(Call.CREATE, 1);
    run(CONVERGENCE_SECONDS, sender);
    assertEquals(store.calls(Call.GRANT_LEASE), 1);
    assertEquals(engines.state(ENGINE).target(), target());
  }

  @Test
  public void candidateMakesFewPlatformCallsAndOthersNone() {
    FakeEngines engines = new FakeEngines(true);
    DefaultOrderSender holder = sender("a", engines);
    run(CONVERGENCE_SECONDS, holder);
    DefaultOrderSender other =
        new DefaultOrderSender(
            incarnation("c"),
            store,
            engines,
            () -> state,
            pool -> false,
            () -> nowNanos,
            OrderTimings.DEFAULT);
    int before = store.calls(Call.GET);
    run(CONVERGENCE_SECONDS, other);
    assertEquals(store.calls(Call.GET), before);
    assertTrue(store.calls(Call.KEEP_LEASE_ALIVE) <= CONVERGENCE_SECONDS / 5);
  }

  /** Holds the first sender's order until another sender has taken over with a newer target. */
  private DefaultOrderSender deliverDelayedOrderOfFormerSender(FakeEngines engines) {
    engines.holdOrders();
    DefaultOrderSender former = sender("a", engines);
    run(5, former);
    assertEquals(engines.sent(), 1);
    changeTarget();
    DefaultOrderSender next = sender("b", new DirectEngines(engines));
    run(CONVERGENCE_SECONDS, next);
    assertEquals(engines.state(ENGINE).target(), target());
    engines.deliverHeldOrders();
    return next;
  }

  private void changeTarget() {
    state =
        new DefaultFleetStateReducer()
            .apply(
                state,
                new YamlReleaseNoteCodec()
                    .readYaml(
                        """
                        id: newer
                        changed:
                          pools:
                            - {id: south, modelVersion: v2, role: mixed}
                        """));
  }

  private PoolSpec target() {
    return Objects.requireNonNull(state.pools().get(new PoolId("south")));
  }

  private void run(int seconds, DefaultOrderSender... senders) {
    for (int second = 0; second < seconds; second++) {
      nowNanos += Duration.ofSeconds(1).toNanos();
      store.advance(Duration.ofSeconds(1));
      List.of(senders).forEach(DefaultOrderSender::tick);
    }
  }

  private DefaultOrderSender sender(String router, OrderTransport engines) {
    return new DefaultOrderSender(
        incarnation(router),
        store,
        engines,
        () -> state,
        pool -> true,
        () -> nowNanos,
        OrderTimings.DEFAULT);
  }

  private static RouterIncarnation incarnation(String id) {
    return new RouterIncarnation(new RouterId(id), 1);
  }

  /** Connects to the same engines without holding orders. */
  private record DirectEngines(FakeEngines engines) implements OrderTransport {

    @Override
    public CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target) {
      return CompletableFuture.completedFuture(engines.applyOrder(engine, fencing, target));
    }

    @Override
    public CompletableFuture<OrderState> read(EngineId engine) {
      return engines.read(engine);
    }
  }
}
