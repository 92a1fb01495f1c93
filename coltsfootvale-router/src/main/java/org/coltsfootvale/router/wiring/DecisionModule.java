package org.coltsfootvale.router.wiring;

import dagger.Module;
import dagger.Provides;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import javax.inject.Singleton;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.entry.DefaultEntryAnswers;
import org.coltsfootvale.core.entry.EntryAnswers;
import org.coltsfootvale.core.entry.EntryOptions;
import org.coltsfootvale.core.gossip.DefaultGossip;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.gossip.GossipOptions;
import org.coltsfootvale.core.gossip.MeshPeerSelector;
import org.coltsfootvale.core.membership.DefaultMembership;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.membership.MembershipOptions;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.release.DefaultFleetStateReducer;
import org.coltsfootvale.core.release.DefaultReleaseLog;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.ReleaseNoteCodec;
import org.coltsfootvale.core.release.YamlReleaseNoteCodec;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.protocol.GossipCodec;

/** Provides the decision components of membership, gossip, entry answers and releases. */
@Module
final class DecisionModule {

  private static final long JITTER_MILLIS_MAX = 400;
  private static final int ENTRY_ADDRESSES_MAX = 3;

  private DecisionModule() {}

  @Provides
  @Singleton
  static InstantSource clock() {
    return InstantSource.system();
  }

  @Provides
  @Singleton
  static RouterIncarnation self(RouterSettings settings, InstantSource clock) {
    return new RouterIncarnation(settings.router().id(), clock.millis());
  }

  @Provides
  @Seed
  static long seed(RouterIncarnation self) {
    return self.id().hashCode() * 31L + self.number();
  }

  @Provides
  static UniformRandomProvider random(@Seed long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  @Provides
  @Singleton
  @Jitter
  static LongSupplier jitterMillis(UniformRandomProvider random) {
    return () -> {
      synchronized (random) {
        return random.nextLong(JITTER_MILLIS_MAX);
      }
    };
  }

  @Provides
  static Supplier<FleetState> fleetState(ReleaseLog log) {
    return log::current;
  }

  @Provides
  static Supplier<FleetView> fleetView(Membership membership) {
    return membership::view;
  }

  @Provides
  @Singleton
  static ReleaseNoteCodec releaseNoteCodec() {
    return new YamlReleaseNoteCodec();
  }

  @Provides
  @Singleton
  static ReleaseLog releaseLog(KeyValueStore store, ReleaseNoteCodec codec, InstantSource clock) {
    return new DefaultReleaseLog(store, codec, new DefaultFleetStateReducer(), clock);
  }

  @Provides
  @Singleton
  static DefaultMembership defaultMembership(
      RouterIncarnation self, RouterSettings settings, InstantSource clock) {
    return new DefaultMembership(
        self,
        settings.router().dataCentre(),
        settings.listen().callers(),
        settings.listen().peers(),
        membershipOptions(settings),
        clock);
  }

  @Provides
  static Membership membership(DefaultMembership membership) {
    return membership;
  }

  @Provides
  @Singleton
  static GossipCodec gossipCodec() {
    return new GossipCodec();
  }

  @Provides
  @Singleton
  static Gossip gossip(
      RouterIncarnation self,
      DefaultMembership membership,
      RouterSettings settings,
      GossipCodec codec,
      InstantSource clock,
      UniformRandomProvider random) {
    return new DefaultGossip(
        self,
        membership,
        gossipOptions(settings),
        codec,
        new MeshPeerSelector(settings::regionOf),
        settings::peers,
        clock,
        random);
  }

  @Provides
  @Singleton
  static EntryAnswers entryAnswers(
      RouterSettings settings, Supplier<FleetView> view, UniformRandomProvider random) {
    Duration lifetime = Duration.ofMillis(settings.requests().entryLifetimeMillis());
    return new DefaultEntryAnswers(
        settings.router().dataCentre(),
        new EntryOptions(lifetime, ENTRY_ADDRESSES_MAX),
        view,
        random);
  }

  private static MembershipOptions membershipOptions(RouterSettings settings) {
    MembershipOptions base = MembershipOptions.DEFAULT;
    return new MembershipOptions(
        Duration.ofMillis(settings.control().suspicionMillis()),
        base.deadRetention(),
        Duration.ofMillis(settings.control().deadMillis()),
        base.unansweredProbesMax(),
        base.localSuspicion(),
        base.flapWindow(),
        base.flapRecoveriesMax(),
        base.flapHold(),
        base.loadChange(),
        base.loadRefresh(),
        base.ownLoadChange(),
        base.routersMax(),
        base.observersPerEngine());
  }

  private static GossipOptions gossipOptions(RouterSettings settings) {
    GossipOptions base = GossipOptions.DEFAULT;
    return new GossipOptions(
        settings.control().gossipBytesPerSecond(),
        base.burstBytes(),
        base.loadReserveBytes(),
        base.entriesPerMessageMax(),
        base.interval(),
        base.keepAlive(),
        base.peerTimeout(),
        base.probeInterval(),
        base.syncInterval());
  }
}
