package org.coltsfootvale.router.wiring;

import com.fasterxml.jackson.databind.ObjectMapper;
import dagger.Module;
import dagger.Provides;
import io.javalin.Javalin;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import javax.inject.Singleton;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.entry.EntryAnswers;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.core.placement.ContinuationTokens;
import org.coltsfootvale.core.placement.DefaultReplicaSelector;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.ReplicaSelector;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.ReleaseNoteCodec;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.router.backend.BackendClients;
import org.coltsfootvale.router.backend.BackendMetrics;
import org.coltsfootvale.router.backend.BackendSettings;
import org.coltsfootvale.router.backend.CallWatchdog;
import org.coltsfootvale.router.backend.EngineClient;
import org.coltsfootvale.router.backend.OkHttpEngineClient;
import org.coltsfootvale.router.backend.OkHttpServiceClient;
import org.coltsfootvale.router.backend.ServiceClient;
import org.coltsfootvale.router.caller.CallerRoutes;
import org.coltsfootvale.router.control.ControlLoops;
import org.coltsfootvale.router.control.PlatformReaderRole;
import org.coltsfootvale.router.control.ReleaseFollower;
import org.coltsfootvale.router.forward.ForwardService;
import org.coltsfootvale.router.forward.HomeForwarder;
import org.coltsfootvale.router.lifecycle.RouterServer;
import org.coltsfootvale.router.operator.OperatorRoutes;
import org.coltsfootvale.router.operator.StateDumper;
import org.coltsfootvale.router.request.ChatService;
import org.coltsfootvale.router.request.Drain;
import org.coltsfootvale.router.request.IdempotentRequestExecutor;
import org.coltsfootvale.router.request.LeavingReplicas;
import org.coltsfootvale.router.request.PlainServiceHandler;
import org.coltsfootvale.router.request.RequestDispatcher;
import org.coltsfootvale.router.request.ServingMetrics;
import org.coltsfootvale.router.request.ServingSettings;
import org.coltsfootvale.router.request.Sleeper;

/** Provides the caller and operator interfaces, the backend clients, and the router server. */
@Module
final class EdgeModule {

  private static final int FORWARD_THREADS_MAX = 512;

  private EdgeModule() {}

  @Provides
  @Singleton
  static Drain drain(RouterSettings settings) {
    return new Drain(settings.requests().concurrentMax());
  }

  @Provides
  @Singleton
  static ServingSettings servingSettings(RouterSettings settings) {
    ServingSettings base = ServingSettings.DEFAULT;
    return new ServingSettings(
        settings.requests().deadlineMillisDefault(),
        settings.requests().bodyBytesMax(),
        base.storedAnswerBytesMax(),
        settings.requests().concurrentMax(),
        base.outputTokensDefault());
  }

  @Provides
  @Singleton
  static BackendSettings backendSettings(RouterSettings settings) {
    BackendSettings base = BackendSettings.DEFAULT;
    return new BackendSettings(
        base.connectTimeoutMillis(),
        base.firstTokenTimeoutMillis(),
        settings.requests().silenceMillisMax(),
        base.serviceTimeoutMillis(),
        base.provedAgeMillis(),
        base.idleConnectionsMax());
  }

  @Provides
  @Singleton
  static BackendClients backendClients(BackendSettings settings) {
    return new BackendClients(settings);
  }

  @Provides
  @Singleton
  static CallWatchdog callWatchdog(InstantSource clock) {
    CallWatchdog watchdog = new CallWatchdog(clock);
    watchdog.start();
    return watchdog;
  }

  @Provides
  @Singleton
  static ServingMetrics servingMetrics(MeterRegistry meters, Drain drain) {
    return new ServingMetrics(meters, drain);
  }

  @Provides
  @Singleton
  static IdempotentRequestExecutor idempotentRequestExecutor(
      KeyPrefixes prefixes,
      IdempotencyRegistry registry,
      PeerTransport transport,
      Supplier<FleetView> view,
      ServingSettings settings,
      ServingMetrics metrics,
      InstantSource clock) {
    HomeForwarder forwarder = new HomeForwarder(transport, view, clock);
    return new IdempotentRequestExecutor(prefixes, registry, forwarder, settings, metrics, clock);
  }

  @Provides
  @Singleton
  static EngineClient engineClient(
      BackendClients clients,
      BackendSettings settings,
      CallWatchdog watchdog,
      MeterRegistry meters,
      InstantSource clock) {
    return new OkHttpEngineClient(clients, settings, watchdog, new BackendMetrics(meters), clock);
  }

  @Provides
  @Singleton
  static ServiceClient serviceClient(
      BackendClients clients, BackendSettings settings, CallWatchdog watchdog) {
    return new OkHttpServiceClient(clients, settings, watchdog);
  }

  @Provides
  @Singleton
  static ChatService chatService(
      Supplier<FleetState> fleet,
      ContinuationTokens tokens,
      EngineSelector selector,
      AdmissionController admission,
      RetryPolicy retryPolicy,
      CircuitBreakers breakers,
      Membership membership,
      EngineClient engines,
      ServingMetrics metrics,
      InstantSource clock,
      IdempotentRequestExecutor idempotentRequests,
      ServingSettings settings) {
    return new ChatService(
        new ChatService.Collaborators(
            fleet,
            tokens,
            selector,
            admission,
            retryPolicy,
            breakers,
            membership,
            engines,
            metrics,
            clock,
            Sleeper::sleep),
        idempotentRequests,
        settings);
  }

  @Provides
  @Singleton
  static LeavingReplicas leavingReplicas(InstantSource clock) {
    return new LeavingReplicas(clock);
  }

  @Provides
  @Singleton
  static ReplicaSelector replicaSelector(
      Supplier<FleetState> fleet,
      LeavingReplicas leaving,
      CircuitBreakers breakers,
      @Seed long seed) {
    return new DefaultReplicaSelector(fleet, leaving, breakers, seed);
  }

  @Provides
  @Singleton
  static PlainServiceHandler plainServiceHandler(
      Supplier<FleetState> fleet,
      ReplicaSelector replicas,
      LeavingReplicas leaving,
      AdmissionController admission,
      RetryPolicy retryPolicy,
      CircuitBreakers breakers,
      ServiceClient client,
      ServingMetrics metrics,
      InstantSource clock,
      IdempotentRequestExecutor idempotentRequests) {
    return new PlainServiceHandler(
        new PlainServiceHandler.Collaborators(
            fleet,
            replicas,
            leaving,
            admission,
            retryPolicy,
            breakers,
            client,
            metrics,
            clock,
            Sleeper::sleep),
        idempotentRequests);
  }

  @Provides
  @Singleton
  static RequestDispatcher requestDispatcher(ChatService chats, PlainServiceHandler services) {
    return new RequestDispatcher(chats, services);
  }

  @Provides
  @Singleton
  static ForwardService forwardService(
      RouterIncarnation self,
      RequestDispatcher dispatcher,
      Drain drain,
      ServingMetrics metrics,
      InstantSource clock) {
    ForwardService service =
        new ForwardService(self, dispatcher, drain, metrics, clock, FORWARD_THREADS_MAX);
    service.start();
    return service;
  }

  @Provides
  @Singleton
  static CallerRoutes callerRoutes(
      RouterIncarnation self,
      Supplier<FleetState> fleet,
      ReleaseFollower releases,
      EntryAnswers entryAnswers,
      KeyPrefixes prefixes,
      RouterSettings settings,
      RequestDispatcher dispatcher,
      Drain drain,
      ServingMetrics metrics,
      InstantSource clock,
      ServingSettings servingSettings) {
    AtomicLong requests = new AtomicLong();
    String idPrefix = self.id() + "-" + Long.toString(self.number(), Character.MAX_RADIX) + "-";
    return new CallerRoutes(
        new CallerRoutes.Collaborators(
            self,
            fleet,
            releases::mayServe,
            entryAnswers,
            prefixes,
            Duration.ofMillis(settings.security().keyPrefixLifetimeMillis()),
            () -> idPrefix + requests.incrementAndGet(),
            dispatcher,
            drain,
            metrics,
            clock),
        servingSettings);
  }

  @Provides
  @Singleton
  static StateDumper stateDumper(
      RouterIncarnation self,
      RouterSettings settings,
      ReleaseLog releases,
      Membership membership,
      Gossip gossip,
      PeerTransport transport,
      IdempotencyRegistry keys,
      Drain drain,
      PlatformReaderRole role,
      CircuitBreakers circuits,
      InstantSource clock) {
    return new StateDumper(
        new StateDumper.Sources(
            self,
            settings,
            releases,
            membership,
            gossip,
            transport,
            keys,
            drain,
            role,
            circuits,
            clock));
  }

  @Provides
  @Singleton
  static OperatorRoutes operatorRoutes(
      ReleaseLog releases,
      ReleaseNoteCodec codec,
      Supplier<FleetView> view,
      Supplier<FleetState> state,
      RouterSettings settings,
      StateDumper dumper,
      PrometheusMeterRegistry meters,
      ObjectMapper mapper) {
    return new OperatorRoutes(
        releases,
        codec,
        view,
        state,
        settings.security().bootstrapOperatorTokenHash(),
        dumper::dump,
        meters,
        mapper);
  }

  @Provides
  @Singleton
  static Javalin httpServer(
      CallerRoutes callers, OperatorRoutes operators, RouterSettings settings) {
    return CallerHttpServer.create(callers, operators, settings);
  }

  @Provides
  @Singleton
  static RouterServer server(
      RouterSettings settings,
      PeerTransport transport,
      ControlLoops loops,
      Javalin app,
      Drain drain,
      Membership membership,
      ReleaseLog releases,
      ExecutorService executor) {
    return new RouterServer(settings, transport, loops, app, drain, membership, releases, executor);
  }
}
