package org.coltsfootvale.router.wiring;

import com.fasterxml.jackson.databind.ObjectMapper;
import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import javax.inject.Singleton;
import okhttp3.OkHttpClient;
import org.coltsfootvale.core.admission.ShareCoordinator;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.orders.DefaultOrderSender;
import org.coltsfootvale.core.orders.OrderSender;
import org.coltsfootvale.core.orders.OrderTimings;
import org.coltsfootvale.core.placement.DefaultEngineSelector;
import org.coltsfootvale.core.placement.DispatchExchange;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.ReleaseNoteCodec;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.protocol.GossipCodec;
import org.coltsfootvale.protocol.NettyPeerTransport;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.PeerTransportOptions;
import org.coltsfootvale.router.control.ControlPeerHandler;
import org.coltsfootvale.router.control.DeferredPeerHandler;
import org.coltsfootvale.router.control.DispatchLoop;
import org.coltsfootvale.router.control.EngineProbe;
import org.coltsfootvale.router.control.GossipLoop;
import org.coltsfootvale.router.control.HostListPoller;
import org.coltsfootvale.router.control.HttpOrderTransport;
import org.coltsfootvale.router.control.PeerDirectory;
import org.coltsfootvale.router.control.PlatformReaderRole;
import org.coltsfootvale.router.control.ReleaseFollower;
import org.coltsfootvale.router.control.ShareLoop;
import org.coltsfootvale.router.control.WeightPoller;
import org.coltsfootvale.router.forward.ForwardService;
import org.coltsfootvale.router.platform.HostListClient;
import org.coltsfootvale.router.platform.WeightStoreClient;
import org.coltsfootvale.router.request.LeavingReplicas;

/** Provides the peer transport and the components that the control loops drive. */
@Module
final class ControlModule {

  private static final int CONTROL_THREADS = 3;
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  private ControlModule() {}

  @Provides
  @Singleton
  static ScheduledExecutorService scheduler() {
    return Executors.newScheduledThreadPool(CONTROL_THREADS, daemonThreadFactory("control"));
  }

  @Provides
  static ExecutorService controlExecutor(ScheduledExecutorService scheduler) {
    return scheduler;
  }

  @Provides
  @Singleton
  static PeerTransport peerTransport(
      RouterIncarnation self,
      RouterSettings settings,
      Lazy<ControlPeerHandler> handler,
      InstantSource clock) {
    return new NettyPeerTransport(
        self,
        settings.listen().peers(),
        settings.security().fleetSecrets(),
        new DeferredPeerHandler(handler::get),
        PeerTransportOptions.DEFAULT,
        clock);
  }

  @Provides
  @Singleton
  static ControlPeerHandler peerHandler(
      Membership membership,
      GossipLoop gossip,
      GossipCodec codec,
      ReleaseFollower releases,
      ShareCoordinator shares,
      DispatchExchange dispatches,
      ForwardService forwards,
      ScheduledExecutorService executor) {
    return new ControlPeerHandler(
        membership, gossip, codec, releases, shares, dispatches, forwards::onForward, executor);
  }

  @Provides
  static PeerDirectory peerDirectory(Supplier<FleetView> view) {
    return new PeerDirectory(view);
  }

  @Provides
  static PlatformReaderRole platformReaderRole(RouterIncarnation self, Supplier<FleetView> view) {
    return new PlatformReaderRole(self.id(), view);
  }

  @Provides
  @Singleton
  static GossipLoop gossipLoop(
      Gossip gossip, GossipCodec codec, PeerTransport transport, PeerDirectory directory) {
    return new GossipLoop(gossip, codec, transport, directory);
  }

  @Provides
  @Singleton
  static DispatchLoop dispatchLoop(
      DispatchExchange exchange,
      DefaultEngineSelector selector,
      PeerTransport transport,
      PeerDirectory directory) {
    return new DispatchLoop(exchange, selector::ownCounts, transport, directory);
  }

  @Provides
  @Singleton
  static ReleaseFollower releaseFollower(
      ReleaseLog log,
      ReleaseNoteCodec codec,
      KeyValueStore store,
      PeerTransport transport,
      PeerDirectory directory,
      PlatformReaderRole role,
      InstantSource clock,
      @Jitter LongSupplier jitterMillis,
      MeterRegistry meters) {
    return new ReleaseFollower(
        log, codec, store, transport, directory, role, clock, jitterMillis, meters);
  }

  @Provides
  @Singleton
  static HostListPoller hostListPoller(
      HostListClient client,
      Membership membership,
      LeavingReplicas replicas,
      PlatformReaderRole role,
      InstantSource clock,
      RouterSettings settings,
      @Jitter LongSupplier jitterMillis) {
    Duration interval = Duration.ofMillis(settings.platform().readerPollMillis());
    return new HostListPoller(
        client, membership, replicas::onListed, role, clock, interval, jitterMillis);
  }

  @Provides
  @Singleton
  static WeightPoller weightPoller(
      WeightStoreClient client,
      Membership membership,
      Supplier<FleetState> state,
      InstantSource clock,
      @Jitter LongSupplier jitterMillis) {
    return new WeightPoller(client, membership, state, clock, jitterMillis);
  }

  @Provides
  @Singleton
  static EngineProbe engineProbe(
      OkHttpClient client,
      ObjectMapper mapper,
      Membership membership,
      Supplier<FleetState> state,
      InstantSource clock,
      MeterRegistry meters) {
    return new EngineProbe(client, mapper, membership, state, clock, PROBE_TIMEOUT, meters);
  }

  @Provides
  @Singleton
  static ShareLoop shareLoop(
      ShareCoordinator coordinator,
      PeerTransport transport,
      PeerDirectory directory,
      RouterIncarnation self) {
    return new ShareLoop(coordinator, transport, directory, self);
  }

  @Provides
  @Singleton
  static OrderSender orderSender(
      RouterIncarnation self,
      KeyValueStore store,
      OkHttpClient client,
      ObjectMapper mapper,
      Supplier<FleetState> states,
      PlatformReaderRole role) {
    OrderTimings timings = OrderTimings.DEFAULT;
    HttpOrderTransport transport =
        new HttpOrderTransport(client, mapper, states, timings.orderInFlight().dividedBy(2));
    return new DefaultOrderSender(
        self,
        store,
        transport,
        states,
        pool -> role.isFirstFor("orders/" + pool),
        System::nanoTime,
        timings);
  }

  private static ThreadFactory daemonThreadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
