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

/** Runs one policy over a workload in virtual time. */
final class PolicyRun {

  private static final double CACHE_GIGABYTES_PER_TOKEN = 128e3 / 1e9;
  private static final double EXCHANGE_PERIOD_MILLIS = 50;
  private static final double PEER_DELAY_MILLIS = 5;
  private static final int FRAME_BYTES = 60;
  private static final int COUNT_BYTES = 20;
  private static final double DEADLINE_MILLIS = 60_000;

  private final Policies.Policy policy;
  private final FleetSize size;
  private final VirtualTime time = new VirtualTime();
  private final Fleet fleet;
  private final ViewFeed feed;
  private final SkewSampler skew;
  private final List<Router> routers = new ArrayList<>();
  private final Map<Integer, CacheHint> hints = new HashMap<>();
  private final Histogram quick = new Histogram(3);
  private final Histogram quickSurge = new Histogram(3);
  private final Histogram reports = new Histogram(3);
  private long reusableTokens;
  private long reusedTokens;
  private long importedTokens;
  private double exchangedBytes;
  private double refused;
  private double failed;
  private double attempts;

  PolicyRun(
      Policies.Policy policy,
      FleetSize size,
      Mix mix,
      PolicySpec spec,
      ChurnPlan churn,
      long seed) {
    this.policy = policy;
    this.size = size;
    this.fleet = new Fleet(size, mix, spec, time);
    this.feed = new ViewFeed(fleet, time, size, seed);
    this.skew = new SkewSampler(fleet.engines(), time, size::inSurge);
    for (int i = 0; i < size.routers(); i++) {
      routers.add(new Router(i, seed + i));
    }
    if (policy.information() == Information.EXCHANGE) {
      exchange();
    }
    for (ChurnPlan.Change change : churn.changes()) {
      time.schedule(change.timeMillis(), () -> apply(change));
    }
  }

  /** Runs the workload and returns what it came to. */
  RunResult run(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      time.runUntil((double) arrival.timeMillis());
      time.schedule((double) arrival.timeMillis(), () -> new Request(arrival).start());
    }
    time.runUntil((double) size.durationMillis());
    double count = arrivals.size();
    return new RunResult(
        policy.name(),
        (double) reusedTokens / reusableTokens,
        skew.percentile(50),
        skew.percentile(99),
        skew.percentile(100),
        skew.surgeP99(),
        skew.calmP99(),
        skew.idleShare(),
        percentile95(quick),
        percentile95(quickSurge),
        percentile95(reports),
        refused / count,
        failed / count,
        attempts / count,
        importedTokens * CACHE_GIGABYTES_PER_TOKEN,
        controlBytesPerSecond());
  }

  private static double percentile95(Histogram histogram) {
    return (double) histogram.getValueAtPercentile(95);
  }

  /** Returns the bytes of load reports and of dispatch counts, heard and sent, of a router. */
  private double controlBytesPerSecond() {
    double bytes = feed.reportsHeardPerRouter() * entryBytes();
    bytes += 2 * exchangedBytes / size.routers();
    return bytes * 1000 / size.durationMillis();
  }

  private void exchange() {
    for (int i = 0; i < routers.size(); i++) {
      Router router = routers.get(i);
      RouterIncarnation from = ViewFeed.name(i);
      if (!(router.selector instanceof DefaultEngineSelector selector)) {
        return;
      }
      for (DispatchExchange.AddressedCounts due :
          router.exchange.dueMessages(selector.ownCounts())) {
        Router peer = routers.get(ViewFeed.index(due.to()));
        exchangedBytes += FRAME_BYTES + (double) COUNT_BYTES * due.counts().counts().size();
        time.schedule(
            time.now() + PEER_DELAY_MILLIS, () -> peer.exchange.onCounts(from, due.counts()));
      }
    }
    time.schedule(time.now() + EXCHANGE_PERIOD_MILLIS, this::exchange);
  }

  private static int entryBytes() {
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

  private void apply(ChurnPlan.Change change) {
    FakeEngine engine = fleet.engines().get(change.engine());
    switch (change.to()) {
      case DEAD -> engine.crash();
      case LEAVING -> engine.leave();
      default -> engine.join();
    }
    feed.onChange(change.engine());
    skew.onChange();
  }

  private FleetView view(int router) {
    return policy.information() == Information.PERFECT ? feed.actualView() : feed.view(router);
  }

  /** One router with its own selector, circuits and retry budget. */
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
              ViewFeed.name(index), () -> feed.view(index), time, DispatchExchangeOptions.DEFAULT);
      selector =
          policy.factory().create(fleet::state, () -> view(index), exchange, circuits, time, seed);
    }
  }

  /** One request with its attempts. */
  private final class Request {

    private final Arrival arrival;
    private final Router router;
    private final RequestTraits traits;
    private final Set<EngineId> excluded = new HashSet<>();
    private int ownAttempts;

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
        refused++;
        return;
      }
      ownAttempts++;
      attempts++;
      FakeEngine engine = fleet.engine(reservation.engine());
      if (engine.liveness() == Liveness.DEAD) {
        router.circuits.onFailure(engine.id().value());
        retry(reservation, Stage.NOT_SENT);
      } else if (engine.liveness() == Liveness.LEAVING || isOverBound(engine, reservation)) {
        retry(reservation, Stage.REFUSED);
      } else {
        send(reservation, engine);
      }
    }

    private boolean isOverBound(FakeEngine engine, Reservation reservation) {
      int withThisOne = engine.outstandingRequests() + 1;
      return policy.enforcedByEngine() && withThisOne > reservation.outstandingRequestsMax();
    }

    private void send(Reservation reservation, FakeEngine engine) {
      @Nullable EngineId importFrom = reservation.importFrom();
      @Nullable FakeEngine source = importFrom == null ? null : fleet.engine(importFrom);
      int cached = engine.accept(arrival, source, new Attempt(reservation, engine));
      reusedTokens += Math.min(cached, arrival.reusableTokens());
    }

    private void retry(Reservation reservation, Stage stage) {
      reservation.release();
      excluded.add(reservation.engine());
      AttemptFailure failure = new AttemptFailure(stage, ErrorKind.BACKEND_FAILED, "down", null);
      RetryDecision decision = router.retries.decide(traits, ownAttempts, failure);
      if (decision instanceof RetryDecision.Failover elsewhere) {
        time.schedule(time.now() + elsewhere.delay().toMillis(), this::attempt);
      } else if (stage == Stage.NOT_SENT || stage == Stage.REFUSED) {
        refused++;
      } else {
        failed++;
      }
    }

    private PlacementRequest placement() {
      return new PlacementRequest(
          arrival.organisation(),
          Fleet.MODEL,
          arrival.requestClass(),
          "chat" + arrival.chat(),
          arrival.promptTokens(),
          arrival.outputTokens(),
          policy.hints() ? hints.get(arrival.chat()) : null,
          excluded);
    }

    /** One attempt at an engine. */
    private final class Attempt implements FakeEngine.Listener {

      private final Reservation reservation;
      private final FakeEngine engine;
      private final long incarnation;

      Attempt(Reservation reservation, FakeEngine engine) {
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
          (arrival.surge() ? quickSurge : quick).recordValue(millis);
        } else if (arrival.requestClass() == RequestClass.REPORT) {
          reports.recordValue(millis);
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
      public void onLost(boolean partial) {
        router.circuits.onFailure(engine.id().value());
        retry(reservation, partial ? Stage.PARTIAL : Stage.SENT);
      }
    }
  }
}
