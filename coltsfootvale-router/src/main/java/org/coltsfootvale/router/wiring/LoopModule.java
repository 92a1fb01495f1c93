package org.coltsfootvale.router.wiring;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.orders.OrderSender;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.router.control.ControlLoop;
import org.coltsfootvale.router.control.ControlLoops;
import org.coltsfootvale.router.control.DispatchLoop;
import org.coltsfootvale.router.control.EngineProbe;
import org.coltsfootvale.router.control.GossipLoop;
import org.coltsfootvale.router.control.HostListPoller;
import org.coltsfootvale.router.control.OwnLoadReporter;
import org.coltsfootvale.router.control.ReleaseFollower;
import org.coltsfootvale.router.control.ShareLoop;
import org.coltsfootvale.router.control.WeightPoller;
import org.coltsfootvale.router.request.Drain;

/** Provides the control loops with their intervals. */
@Module
final class LoopModule {

  private static final Duration MEMBERSHIP_INTERVAL = Duration.ofMillis(100);
  private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(50);
  private static final Duration RELEASE_INTERVAL = Duration.ofMillis(200);
  private static final Duration HOST_LIST_INTERVAL = Duration.ofMillis(500);
  private static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(1);

  private LoopModule() {}

  @Provides
  @IntoSet
  static ControlLoop membershipLoop(Membership membership) {
    return ControlLoop.of("membership", MEMBERSHIP_INTERVAL, membership::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop gossip(GossipLoop gossip, RouterSettings settings) {
    Duration interval = Duration.ofMillis(settings.control().gossipTickMillis());
    return ControlLoop.of("gossip", interval, gossip::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop dispatches(DispatchLoop dispatches) {
    return ControlLoop.of("dispatches", DISPATCH_INTERVAL, dispatches::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop releases(ReleaseFollower releases) {
    return new ControlLoop("release", RELEASE_INTERVAL, releases::tick, releases::close);
  }

  @Provides
  @IntoSet
  static ControlLoop hosts(HostListPoller hosts) {
    return ControlLoop.of("host_list", HOST_LIST_INTERVAL, hosts::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop weights(WeightPoller weights) {
    return ControlLoop.of("weights", DEFAULT_INTERVAL, weights::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop probes(EngineProbe probe, RouterSettings settings) {
    Duration interval = Duration.ofMillis(settings.control().probeMillis());
    return ControlLoop.of("engine_probe", interval, probe::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop shares(ShareLoop shares) {
    return ControlLoop.of("shares", DEFAULT_INTERVAL, shares::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop orders(OrderSender orders) {
    return new ControlLoop("orders", DEFAULT_INTERVAL, orders::tick, orders::stop);
  }

  @Provides
  @IntoSet
  static ControlLoop keys(IdempotencyRegistry keys) {
    return ControlLoop.of("keys", DEFAULT_INTERVAL, keys::tick);
  }

  @Provides
  @IntoSet
  static ControlLoop ownLoad(Membership membership, Drain drain, RouterSettings settings) {
    OwnLoadReporter load =
        new OwnLoadReporter(membership, drain::inProgress, settings.requests().concurrentMax());
    return ControlLoop.of("own_load", DEFAULT_INTERVAL, load::tick);
  }

  @Provides
  @Singleton
  static ControlLoops controlLoops(
      ScheduledExecutorService executor, MeterRegistry meters, Set<ControlLoop> loops) {
    return new ControlLoops(executor, meters, loops);
  }
}
