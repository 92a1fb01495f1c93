package org.coltsfootvale.verify.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.placement.CacheHint;
import org.coltsfootvale.core.placement.DefaultDispatchExchange;
import org.coltsfootvale.core.placement.DefaultEngineSelector;
import org.coltsfootvale.core.placement.DispatchExchange;
import org.coltsfootvale.core.placement.DispatchExchangeOptions;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PlacementRequest;
import org.coltsfootvale.core.placement.Reservation;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.retry.AttemptFailure;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.coltsfootvale.core.retry.CircuitOptions;
import org.coltsfootvale.core.retry.DefaultCircuitBreakers;
import org.coltsfootvale.core.retry.DefaultRetryPolicy;
import org.coltsfootvale.core.retry.RequestTraits;
import org.coltsfootvale.core.retry.RetryDecision;
import org.coltsfootvale.core.retry.RetryOptions;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.coltsfootvale.protocol.wire.EngineEntry;
import org.jspecify.annotations.Nullable;

/** Runs one placement policy on a workload in virtual time. */
final class PolicyRun {

  private static final double CACHE_GIGABYTES_PER_TOKEN = 128e3 / 1e9;
  private static final double EXCHANGE_PERIOD_MILLIS = 50;
  private static final double PEER_DELAY_MILLIS = 5;
  private static final int FRAME_BYTES = 60;
  private static final int COUNT_BYTES = 20;
  private static final double DEADLINE_MILLIS = 60_000;

  private final Policies.PlacementPolicy policy;
  private final FleetSize size;
  private final VirtualTime time = new VirtualTime();
  private final SimulatedFleet fleet;
  private final DelayedViews views;
  private final SkewSampler skew;
  private final List<Router> routers = new ArrayList<>();
  private final Map<Integer, CacheHint> hints = new HashMap<>();
  private final Histogram quickFirstTokenMillis = new Histogram(3);
  private final Histogram quickSurgeFirstTokenMillis = new Histogram(3);
  private final Histogram longFirstTokenMillis = new Histogram(3);
  private long reusableTokens;
  private long reusedTokens;
  private long importedTokens;
  private double exchangedBytes;
  private double refusedRequests;
  private double failedRequests;
  private double totalAttempts;

  PolicyRun(
      Policies.PlacementPolicy policy,
      FleetSize size,
      WorkloadMix mix,
      PolicySpec spec,
      ChurnPlan churn,
      long seed) {
    this.policy = policy;
    this.size = size;
    this.fleet = new SimulatedFleet(size, mix, spec, time);
    this.views = new DelayedViews(fleet, time, size, seed);
    this.skew = new SkewSampler(fleet.engines(), time, size::inSurge);
    for (int i = 0; i < size.routers(); i++) {
      routers.add(new Router(i, seed + i));
    }
    if (policy.loadSource() == LoadSource.REPORTS_AND_COUNTS) {
      exchangeCounts();
    }
    for (ChurnPlan.Change change : churn.changes()) {
      time.schedule(change.timeMillis(), () -> applyChange(change));
    }
  }

  /** Runs the workload and returns the results. */
  PolicyResult run(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      time.runUntil((double) arrival.timeMillis());
      time.schedule((double) arrival.timeMillis(), () -> new Request(arrival).start());
    }
    time.runUntil((double) size.durationMillis());
    double count = arrivals.size();
    return new PolicyResult(
        policy.name(),
        (double) reusedTokens / reusableTokens,
        skew.percentile(50),
        skew.percentile(99),
        skew.percentile(100),
        skew.surgeP99(),
        skew.calmP99(),
        skew.idleShare(),
        percentile95(quickFirstTokenMillis),
        percentile95(quickSurgeFirstTokenMillis),
        percentile95(longFirstTokenMillis),
        refusedRequests / count,
        failedRequests / count,
        totalAttempts / count,
        importedTokens * CACHE_GIGABYTES_PER_TOKEN,
        controlBytesPerSecond());
  }

  private static double percentile95(Histogram histogram) {
    return (double) histogram.getValueAtPercentile(95);
  }

  /** Returns a router's bytes per second of load reports received and dispatch counts exchanged. */
  private double controlBytesPerSecond() {
    double bytes = views.reportsReceivedPerRouter() * loadEntryBytes();
    bytes += 2 * exchangedBytes / size.routers();
    return bytes * 1000 / size.durationMillis();
  }

  private void exchangeCounts() {
    for (int i = 0; i < routers.size(); i++) {
      Router router = routers.get(i);
      RouterIncarnation from = DelayedViews.routerIdentity(i);
      if (!(router.selector instanceof DefaultEngineSelector selector)) {
        return;
      }
      for (DispatchExchange.AddressedCounts due :
          router.exchange.dueMessages(selector.ownCounts())) {
        Router peer = routers.get(DelayedViews.routerIndex(due.to()));
        exchangedBytes += FRAME_BYTES + (double) COUNT_BYTES * due.counts().counts().size();
        time.schedule(
            time.now() + PEER_DELAY_MILLIS, () -> peer.exchange.onCounts(from, due.counts()));
      }
    }
    time.schedule(time.now() + EXCHANGE_PERIOD_MILLIS, this::exchangeCounts);
  }

  private static int loadEntryBytes() {
    return EngineEntry.newBuilder()
        .setId("engine-123")
        .setIncarnation(1_700_000_000_000L)
        .setVersion(100_000)
        .setOutstandingRequests(12)
        .setQueuedTokens(3_000)
        .setRunningTokens(3_000)
        .setAgeMillis(500)
        .build()
        .getSerializedSize();
  }

  private void applyChange(ChurnPlan.Change change) {
    SimulatedEngine engine = fleet.engines().get(change.engine());
    switch (change.to()) {
      case DEAD -> engine.crash();
      case LEAVING -> engine.startLeaving();
      default -> engine.restart();
    }
    views.onEngineChange(change.engine());
    skew.onChange();
  }

  private FleetView view(int router) {
    return policy.loadSource() == LoadSource.ACTUAL_LOADS ? views.actualView() : views.view(router);
  }

  /** Router with its own selector, circuit breakers and retry policy. */
  private final class Router {

    private final DispatchExchange exchange;
    private final EngineSelector selector;
    private final DefaultCircuitBreakers circuits;
    private final RetryPolicy retries;

    Router(int index, long seed) {
      circuits = new DefaultCircuitBreakers(CircuitOptions.DEFAULT, time, seed);
      retries = new DefaultRetryPolicy(RetryOptions.DEFAULT, time, seed);
      exchange =
          new DefaultDispatchExchange(
              DelayedViews.routerIdentity(index),
              () -> views.view(index),
              time,
              DispatchExchangeOptions.DEFAULT);
      selector =
          policy.factory().create(fleet::state, () -> view(index), exchange, circuits, time, seed);
    }
  }

  /** Request with its attempts. */
  private final class Request {

    private final Arrival arrival;
    private final Router router;
    private final RequestTraits traits;
    private final Set<EngineId> excluded = new HashSet<>();
    private int attemptCount;

    Request(Arrival arrival) {
      this.arrival = arrival;
      this.router = routers.get(arrival.router());
      this.traits =
          new RequestTraits(true, false, VirtualTime.at(arrival.timeMillis() + DEADLINE_MILLIS));
    }

    void start() {
      router.retries.requestStarted();
      reusableTokens += arrival.reusableTokens();
      attempt();
    }

    private void attempt() {
      Reservation reservation;
      try {
        reservation = router.selector.select(placement());
      } catch (ColtsfootvaleException e) {
        refusedRequests++;
        return;
      }
      attemptCount++;
      totalAttempts++;
      SimulatedEngine engine = fleet.engine(reservation.engine());
      if (engine.liveness() == Liveness.DEAD) {
        router.circuits.onFailure(engine.id().value());
        retry(reservation, Stage.NOT_SENT);
      } else if (engine.liveness() == Liveness.LEAVING || exceedsBound(engine, reservation)) {
        retry(reservation, Stage.REFUSED);
      } else {
        send(reservation, engine);
      }
    }

    private boolean exceedsBound(SimulatedEngine engine, Reservation reservation) {
      int outstandingRequests = engine.outstandingRequests() + 1;
      return policy.engineEnforcesBound()
          && outstandingRequests > reservation.outstandingRequestsMax();
    }

    private void send(Reservation reservation, SimulatedEngine engine) {
      @Nullable EngineId importFrom = reservation.importFrom();
      @Nullable SimulatedEngine source = importFrom == null ? null : fleet.engine(importFrom);
      int cached = engine.accept(arrival, source, new Attempt(reservation, engine));
      reusedTokens += Math.min(cached, arrival.reusableTokens());
    }

    private void retry(Reservation reservation, Stage stage) {
      reservation.release();
      excluded.add(reservation.engine());
      AttemptFailure failure = new AttemptFailure(stage, ErrorKind.BACKEND_FAILED, "down", null);
      RetryDecision decision = router.retries.decide(traits, attemptCount, failure);
      if (decision instanceof RetryDecision.Failover failover) {
        time.schedule(time.now() + failover.delay().toMillis(), this::attempt);
      } else if (stage == Stage.NOT_SENT || stage == Stage.REFUSED) {
        refusedRequests++;
      } else {
        failedRequests++;
      }
    }

    private PlacementRequest placement() {
      return new PlacementRequest(
          arrival.organisation(),
          SimulatedFleet.MODEL,
          arrival.requestClass(),
          "chat" + arrival.chat(),
          arrival.promptTokens(),
          arrival.outputTokens(),
          policy.callersSendHints() ? hints.get(arrival.chat()) : null,
          excluded);
    }

    /** Attempt at one engine. */
    private final class Attempt implements SimulatedEngine.RequestListener {

      private final Reservation reservation;
      private final SimulatedEngine engine;
      private final long incarnation;

      Attempt(Reservation reservation, SimulatedEngine engine) {
        this.reservation = reservation;
        this.engine = engine;
        this.incarnation = engine.incarnation();
      }

      @Override
      public void onImport(int tokens) {
        importedTokens += tokens;
      }

      @Override
      public void onFirstToken(double timeMillis) {
        reservation.onPrefilled();
        long millis = Math.max(1, Math.round(timeMillis - arrival.timeMillis()));
        if (arrival.requestClass() == RequestClass.QUICK) {
          (arrival.inSurge() ? quickSurgeFirstTokenMillis : quickFirstTokenMillis)
              .recordValue(millis);
        } else if (arrival.requestClass() == RequestClass.REPORT) {
          longFirstTokenMillis.recordValue(millis);
        }
      }

      @Override
      public void onFinished(int cachedTokens) {
        reservation.release();
        router.circuits.onSuccess(engine.id().value());
        hints.put(
            arrival.chat(), new CacheHint(engine.id(), incarnation, cachedTokens, time.instant()));
      }

      @Override
      public void onEngineCrash(boolean partial) {
        router.circuits.onFailure(engine.id().value());
        retry(reservation, partial ? Stage.PARTIAL : Stage.SENT);
      }
    }
  }
}
