package org.coltsfootvale.core.admission;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Admits requests by token buckets that refill at this router's shares and, while the fleet is
 * saturated, by weighted max-min fairness. Refuses immediately. Thread-safe; each organisation has
 * its own lock.
 */
public final class DefaultAdmissionController implements AdmissionController {

  private static final double DOUBLE_UNIT = 0x1.0p-53;
  private static final Duration RETRY_SATURATED = Duration.ofSeconds(2);

  private final Supplier<FleetState> state;
  private final ShareSource shares;
  private final DemandMeter meter;
  private final SaturationLimiter saturation;
  private final InstantSource clock;
  private final AdmissionOptions options;
  private final long seed;
  private final AtomicLong draws = new AtomicLong();
  private final Map<OrganisationId, OrganisationLimiter> limiters = new ConcurrentHashMap<>();
  private volatile FleetState prunedState = FleetState.empty();

  /** Creates a controller whose retry delays are randomised by a seed. */
  public DefaultAdmissionController(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      ShareSource shares,
      DemandMeter meter,
      InstantSource clock,
      AdmissionOptions options,
      long seed) {
    this.state = state;
    this.shares = shares;
    this.meter = meter;
    this.saturation = new SaturationLimiter(state, view, meter, clock, options);
    this.clock = clock;
    this.options = options;
    this.seed = seed;
  }

  @Override
  public Permit admit(OrganisationId id, RequestClass requestClass, long tokens) {
    OrganisationSpec organisation = organisation(id);
    meter.record(id, tokens);
    if (!saturation.tryAcquire(id, tokens)) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.OVERLOADED,
          "the engines are saturated and organisation " + id + " has used its fair share",
          withJitter(RETRY_SATURATED));
    }
    ShareGrant.Share share = shares.shareOf(organisation);
    long nowMillis = clock.millis();
    OrganisationLimiter limiter =
        limiters.computeIfAbsent(id, key -> new OrganisationLimiter(options, share, nowMillis));
    Duration wait = limiter.tryAcquire(share, tokens, nowMillis);
    if (!wait.isZero()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.ORGANISATION_LIMIT,
          "organisation " + id + " has reached its limit of requests or tokens a second",
          withJitter(wait));
    }
    return new SettledPermit(limiter, tokens);
  }

  private OrganisationSpec organisation(OrganisationId id) {
    FleetState current = state.get();
    if (!prunedState.equals(current)) {
      limiters.keySet().retainAll(current.organisations().keySet());
      prunedState = current;
    }
    OrganisationSpec organisation = current.organisations().get(id);
    if (organisation == null) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.FORBIDDEN, "organisation " + id + " is not in the release state");
    }
    return organisation;
  }

  /** Returns the delay, lengthened at random by up to 100 %, at most the maximum retry delay. */
  private Duration withJitter(Duration wait) {
    long draw = RendezvousHashing.combine(seed, draws.getAndIncrement());
    double uniform = (draw >>> 11) * DOUBLE_UNIT;
    long millis = (long) Math.ceil(wait.toMillis() * (1 + uniform));
    return Duration.ofMillis(Math.max(1, Math.min(millis, options.retryAfterMax().toMillis())));
  }

  private final class SettledPermit implements Permit {

    private final OrganisationLimiter limiter;
    private final long tokensTaken;
    private final AtomicBoolean finished = new AtomicBoolean();

    SettledPermit(OrganisationLimiter limiter, long tokensTaken) {
      this.limiter = limiter;
      this.tokensTaken = tokensTaken;
    }

    @Override
    public void finish(long tokensUsed) {
      if (finished.compareAndSet(false, true)) {
        limiter.settle(tokensUsed - tokensTaken);
        saturation.finished(tokensUsed);
      }
    }
  }
}
