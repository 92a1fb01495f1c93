package org.coltsfootvale.router.control;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.once.OnceRegistry;
import org.coltsfootvale.core.orders.OrderSender;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.core.support.Service;

/** Drives the loops of the control traffic at their intervals. */
public final class ControlLoops implements Service {

  private static final Duration MEMBERSHIP_TICK = Duration.ofMillis(100);
  private static final Duration RELEASE_TICK = Duration.ofMillis(200);
  private static final Duration HOST_LIST_TICK = Duration.ofMillis(500);
  private static final Duration SHARE_TICK = Duration.ofSeconds(1);
  private static final Duration ORDER_TICK = Duration.ofSeconds(1);
  private static final Duration KEY_TICK = Duration.ofSeconds(1);
  private static final Duration LOAD_TICK = Duration.ofSeconds(1);

  private final List<PeriodicTask> tasks;
  private final ReleaseFollower releases;
  private final OrderSender orders;

  /** Creates the loops without starting them. */
  public ControlLoops(
      ScheduledExecutorService executor,
      MeterRegistry meters,
      RouterSettings settings,
      Membership membership,
      GossipLoop gossip,
      ReleaseFollower releases,
      HostListPoller hosts,
      EngineProbe probe,
      ShareLoop shares,
      OrderSender orders,
      OnceRegistry keys,
      OwnLoad ownLoad) {
    this.releases = releases;
    this.orders = orders;
    Starter starter = new Starter(executor, meters);
    Duration gossipTick = Duration.ofMillis(settings.control().gossipTickMillis());
    Duration probeTick = Duration.ofMillis(settings.control().probeMillis());
    tasks =
        List.of(
            starter.task("membership", MEMBERSHIP_TICK, membership::tick),
            starter.task("gossip", gossipTick, gossip::tick),
            starter.task("release", RELEASE_TICK, releases::tick),
            starter.task("host_list", HOST_LIST_TICK, hosts::tick),
            starter.task("engine_probe", probeTick, probe::tick),
            starter.task("shares", SHARE_TICK, shares::tick),
            starter.task("orders", ORDER_TICK, orders::tick),
            starter.task("keys", KEY_TICK, keys::tick),
            starter.task("own_load", LOAD_TICK, ownLoad::tick));
  }

  @Override
  public void start() {
    tasks.forEach(PeriodicTask::start);
  }

  @Override
  public void stop() {
    tasks.forEach(PeriodicTask::stop);
    releases.close();
    orders.stop();
  }

  private record Starter(ScheduledExecutorService executor, MeterRegistry meters) {

    PeriodicTask task(String name, Duration interval, Runnable action) {
      return new PeriodicTask(executor, meters, name, interval, action);
    }
  }
}
