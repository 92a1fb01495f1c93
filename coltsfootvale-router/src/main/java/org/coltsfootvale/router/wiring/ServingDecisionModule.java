package org.coltsfootvale.router.wiring;

import dagger.Module;
import dagger.Provides;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Supplier;
import javax.inject.Singleton;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.admission.AdmissionOptions;
import org.coltsfootvale.core.admission.DefaultAdmissionController;
import org.coltsfootvale.core.admission.DefaultShareCoordinator;
import org.coltsfootvale.core.admission.DemandMeter;
import org.coltsfootvale.core.admission.ShareCoordinator;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.DefaultIdempotencyRegistry;
import org.coltsfootvale.core.once.DefaultKeyPrefixes;
import org.coltsfootvale.core.once.HomeLiveness;
import org.coltsfootvale.core.once.IdempotencyLimits;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.core.placement.ContinuationTokens;
import org.coltsfootvale.core.placement.DefaultContinuationTokens;
import org.coltsfootvale.core.placement.DefaultDispatchExchange;
import org.coltsfootvale.core.placement.DefaultEngineSelector;
import org.coltsfootvale.core.placement.DispatchExchange;
import org.coltsfootvale.core.placement.DispatchExchangeOptions;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PlacementOptions;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.CircuitOptions;
import org.coltsfootvale.core.retry.DefaultCircuitBreakers;
import org.coltsfootvale.core.retry.DefaultRetryPolicy;
import org.coltsfootvale.core.retry.RetryOptions;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.coltsfootvale.core.settings.RouterSettings;

/** Provides the decision components of requests: placement, admission, retries and keys. */
@Module
final class ServingDecisionModule {

  private ServingDecisionModule() {}

  @Provides
  @FleetSecrets
  static List<byte[]> secrets(RouterSettings settings) {
    return settings.security().fleetSecrets().stream()
        .map(secret -> secret.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  @Provides
  @Singleton
  static CircuitBreakers circuitBreakers(InstantSource clock, @Seed long seed) {
    return new DefaultCircuitBreakers(CircuitOptions.DEFAULT, clock, seed);
  }

  @Provides
  @Singleton
  static RetryPolicy retryPolicy(InstantSource clock, @Seed long seed) {
    return new DefaultRetryPolicy(RetryOptions.DEFAULT, clock, seed);
  }

  @Provides
  @Singleton
  static DispatchExchange dispatchExchange(
      RouterIncarnation self, Supplier<FleetView> view, InstantSource clock) {
    return new DefaultDispatchExchange(self, view, clock, DispatchExchangeOptions.DEFAULT);
  }

  @Provides
  @Singleton
  static DefaultEngineSelector defaultEngineSelector(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      DispatchExchange peers,
      CircuitBreakers circuits,
      InstantSource clock) {
    return new DefaultEngineSelector(state, view, peers, circuits, clock, PlacementOptions.DEFAULT);
  }

  @Provides
  static EngineSelector engineSelector(DefaultEngineSelector selector) {
    return selector;
  }

  @Provides
  @Singleton
  static ContinuationTokens continuationTokens(
      @FleetSecrets List<byte[]> secrets, RouterSettings settings, InstantSource clock) {
    Duration lifetime = Duration.ofMillis(settings.security().continuationLifetimeMillis());
    return new DefaultContinuationTokens(secrets, lifetime, clock);
  }

  @Provides
  @Singleton
  static DemandMeter demandMeter(InstantSource clock) {
    return new DemandMeter(clock);
  }

  @Provides
  @Singleton
  static DefaultShareCoordinator defaultShareCoordinator(
      RouterIncarnation self,
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      DemandMeter meter,
      InstantSource clock) {
    return new DefaultShareCoordinator(self, state, view, meter, clock, AdmissionOptions.DEFAULT);
  }

  @Provides
  static ShareCoordinator shareCoordinator(DefaultShareCoordinator coordinator) {
    return coordinator;
  }

  @Provides
  @Singleton
  static AdmissionController admissionController(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      DefaultShareCoordinator shares,
      DemandMeter meter,
      InstantSource clock,
      @Seed long seed) {
    return new DefaultAdmissionController(
        state, view, shares, meter, clock, AdmissionOptions.DEFAULT, seed);
  }

  @Provides
  @Singleton
  static KeyPrefixes keyPrefixes(
      @FleetSecrets List<byte[]> secrets,
      RouterSettings settings,
      InstantSource clock,
      UniformRandomProvider random) {
    Duration lifetime = Duration.ofMillis(settings.security().keyPrefixLifetimeMillis());
    return new DefaultKeyPrefixes(
        secrets,
        lifetime,
        clock,
        () -> {
          synchronized (random) {
            return random.nextLong();
          }
        });
  }

  @Provides
  @Singleton
  static HomeLiveness homeLiveness(RouterIncarnation self, Supplier<FleetView> view) {
    return new ViewHomeLiveness(self, view);
  }

  @Provides
  @Singleton
  static IdempotencyRegistry idempotencyRegistry(
      RouterIncarnation self,
      HomeLiveness homes,
      KeyValueStore store,
      InstantSource clock,
      RouterSettings settings) {
    IdempotencyLimits base = IdempotencyLimits.DEFAULT;
    IdempotencyLimits limits =
        new IdempotencyLimits(
            settings.requests().keysMax(),
            settings.requests().keyAnswerBytesMax(),
            base.answerBytesMax(),
            base.claimLifetime(),
            base.pauseMax(),
            base.claimMargin());
    return new DefaultIdempotencyRegistry(self, homes, store, clock, System::nanoTime, limits);
  }
}
