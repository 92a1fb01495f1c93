package org.coltsfootvale.verify.policy;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.placement.DefaultEngineSelector;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PlacementOptions;
import org.coltsfootvale.core.placement.PlacementRequest;
import org.coltsfootvale.core.placement.Reservation;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.retry.AttemptFailure;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.CircuitOptions;
import org.coltsfootvale.core.retry.DefaultCircuitBreakers;
import org.coltsfootvale.core.retry.DefaultRetryPolicy;
import org.coltsfootvale.core.retry.RequestTraits;
import org.coltsfootvale.core.retry.RetryDecision;
import org.coltsfootvale.core.retry.RetryOptions;

/** Counts the attempts sent to engines while every engine fails. */
final class OutageRun {

  private static final int REQUESTS = 10_000;
  private static final double REQUEST_PERIOD_MILLIS = 20;
  private static final double DEADLINE_MILLIS = 30_000;

  private final VirtualTime time = new VirtualTime();
  private final Stage stage;
  private final DefaultRetryPolicy retries;
  private final CircuitBreakers circuits;
  private final EngineSelector selector;
  private int attempts;

  OutageRun(Stage stage, boolean withCircuits, long seed) {
    this.stage = stage;
    this.retries = new DefaultRetryPolicy(RetryOptions.DEFAULT, time, seed);
    this.circuits = withCircuits ? circuits(time, seed) : new ClosedCircuits();
    WorkloadMix mix = WorkloadMix.LINTULASKENTA;
    SimulatedFleet fleet = new SimulatedFleet(FleetSize.today(mix), mix, PolicySpec.DEFAULT, time);
    FleetView view = liveView(fleet);
    this.selector =
        new DefaultEngineSelector(
            fleet::state, () -> view, circuits, time, PlacementOptions.DEFAULT);
  }

  /** Runs the outage and returns the mean number of attempts per request. */
  double attemptsPerRequest() {
    for (int i = 0; i < REQUESTS; i++) {
      int chat = i;
      time.schedule(i * REQUEST_PERIOD_MILLIS, () -> start(chat));
    }
    time.runUntil(REQUESTS * REQUEST_PERIOD_MILLIS + DEADLINE_MILLIS);
    return (double) attempts / REQUESTS;
  }

  private void start(int chat) {
    retries.requestStarted();
    RequestTraits traits =
        new RequestTraits(true, true, VirtualTime.at(time.now() + DEADLINE_MILLIS));
    attempt(chat, traits, new HashSet<>(), 1);
  }

  private void attempt(int chat, RequestTraits traits, Set<EngineId> excluded, int number) {
    Reservation reservation;
    try {
      reservation = selector.select(request(chat, excluded));
    } catch (ColtsfootvaleException e) {
      return;
    }
    attempts++;
    reservation.release();
    excluded.add(reservation.engine());
    if (stage != Stage.REFUSED) {
      circuits.onFailure(reservation.engine().value());
    }
    AttemptFailure failure = new AttemptFailure(stage, ErrorKind.BACKEND_FAILED, "outage", null);
    RetryDecision decision = retries.decide(traits, number, failure);
    if (decision instanceof RetryDecision.Failover failover) {
      double next = time.now() + failover.delay().toMillis();
      time.schedule(next, () -> attempt(chat, traits, excluded, number + 1));
    } else if (decision instanceof RetryDecision.Resume resume) {
      double next = time.now() + resume.delay().toMillis();
      time.schedule(next, () -> attempt(chat, traits, new HashSet<>(), number + 1));
    }
  }

  private static PlacementRequest request(int chat, Set<EngineId> excluded) {
    return new PlacementRequest(
        new OrganisationId("org"),
        SimulatedFleet.MODEL,
        RequestClass.REPORT,
        "chat" + chat,
        2_000,
        100,
        null,
        excluded);
  }

  private static CircuitBreakers circuits(InstantSource clock, long seed) {
    return new DefaultCircuitBreakers(CircuitOptions.DEFAULT, clock, seed);
  }

  private static FleetView liveView(SimulatedFleet fleet) {
    Map<EngineId, EngineView> engines = new HashMap<>();
    for (SimulatedEngine engine : fleet.engines()) {
      engines.put(
          engine.id(),
          new EngineView(engine.id(), 1, Liveness.LIVE, VirtualTime.at(-1e6), null, 1));
    }
    return new FleetView(1, engines, Map.of());
  }

  /** Circuit breakers that never open. */
  private static final class ClosedCircuits implements CircuitBreakers {

    @Override
    public boolean tryAcquire(String backend) {
      return true;
    }

    @Override
    public boolean isClosed(String backend) {
      return true;
    }

    @Override
    public void onSuccess(String backend) {}

    @Override
    public void onFailure(String backend) {}
  }
}
