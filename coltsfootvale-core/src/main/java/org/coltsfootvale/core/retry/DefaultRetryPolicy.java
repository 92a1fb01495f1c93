package org.coltsfootvale.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Retries within the deadline, a number of attempts and a retry budget that all attempts draw on.
 *
 * <p>A refusal is cheap and quick and often concerns one backend server alone, so that a retry
 * after it is charged to the budget only if it fails as well; while all of them refuse, the budget
 * holds.
 *
 * <p>A request that is not to be repeated is retried only while it is certain that it did not run.
 * After part of an answer only its own engine can go on with it.
 */
public final class DefaultRetryPolicy implements RetryPolicy {

  private static final double UNIT = 0x1.0p-53;

  private final RetryOptions options;
  private final InstantSource clock;
  private final RetryBudget budget;
  private final long seed;
  private final AtomicLong draws = new AtomicLong();

  /** Creates a policy whose delays are drawn from a seed. */
  public DefaultRetryPolicy(RetryOptions options, InstantSource clock, long seed) {
    this.options = options;
    this.clock = clock;
    this.seed = seed;
    this.budget = new RetryBudget(options.budgetRatio(), options.budgetMax());
  }

  @Override
  public void requestStarted() {
    budget.earn();
  }

  @Override
  public RetryDecision decide(RequestTraits traits, int attempts, AttemptFailure failure) {
    if (attempts > 1 && failure.stage() == AttemptFailure.Stage.REFUSED) {
      budget.charge();
    }
    Duration delay = delay(attempts, failure);
    Instant next = clock.instant().plus(delay);
    boolean allowed =
        mayRunAgain(traits, failure.stage())
            && attempts < options.attemptsMax()
            && next.isBefore(traits.deadline())
            && drawOnBudget(failure.stage());
    if (!allowed) {
      return new RetryDecision.GiveUp(error(failure));
    }
    if (failure.stage() == AttemptFailure.Stage.PARTIAL) {
      return new RetryDecision.Resume(delay);
    }
    return new RetryDecision.Failover(delay);
  }

  /** A retry after a refusal is charged only if it is refused as well. */
  private boolean drawOnBudget(AttemptFailure.Stage stage) {
    return stage == AttemptFailure.Stage.REFUSED ? budget.isAvailable() : budget.tryTake();
  }

  private static boolean mayRunAgain(RequestTraits traits, AttemptFailure.Stage stage) {
    return switch (stage) {
      case NOT_SENT, REFUSED -> true;
      case SENT -> traits.repeatable();
      case PARTIAL -> traits.repeatable() && traits.resumable();
    };
  }

  /** A request that is known not to have run goes on at once; others wait a random time. */
  private Duration delay(int attempts, AttemptFailure failure) {
    if (didNotRun(failure.stage())) {
      return Duration.ZERO;
    }
    long longest = options.delayBase().toMillis() << Math.min(attempts - 1, 16);
    long bounded = Math.min(longest, options.delayMax().toMillis());
    return Duration.ofMillis((long) (bounded * uniform()));
  }

  private double uniform() {
    long draw = RendezvousHashing.combine(seed, draws.getAndIncrement());
    return (draw >>> 11) * UNIT;
  }

  private static boolean didNotRun(AttemptFailure.Stage stage) {
    return stage == AttemptFailure.Stage.NOT_SENT || stage == AttemptFailure.Stage.REFUSED;
  }

  private static ColtsfootvaleException error(AttemptFailure failure) {
    Outcome outcome = didNotRun(failure.stage()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    @Nullable Duration retryAfter = failure.retryAfter();
    return new ColtsfootvaleException(failure.kind(), outcome, failure.detail(), retryAfter, null);
  }
}
