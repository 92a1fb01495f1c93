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
 * Retries within the deadline, a maximum number of attempts and a retry budget shared by all
 * requests.
 *
 * <p>A refusal is cheap and quick and often concerns a single backend server, so a retry after one
 * is charged to the budget only if it is refused as well. The budget thus still limits retries
 * while all backend servers refuse.
 *
 * <p>A request that must run at most once is retried only if it is certain that it did not run. A
 * partial answer can be resumed only at the same engine.
 */
public final class DefaultRetryPolicy implements RetryPolicy {

  private static final double DOUBLE_UNIT = 0x1.0p-53;

  private final RetryOptions options;
  private final InstantSource clock;
  private final RetryBudget budget;
  private final long seed;
  private final AtomicLong draws = new AtomicLong();

  /** Creates a policy whose delays are randomised by a seed. */
  public DefaultRetryPolicy(RetryOptions options, InstantSource clock, long seed) {
    this.options = options;
    this.clock = clock;
    this.seed = seed;
    this.budget = new RetryBudget(options.budgetRatio(), options.budgetMax());
  }

  @Override
  public void requestStarted() {
    budget.deposit();
  }

  @Override
  public RetryDecision decide(RequestTraits traits, int attempts, AttemptFailure failure) {
    if (attempts > 1 && failure.stage() == AttemptFailure.Stage.REFUSED) {
      budget.forceWithdraw();
    }
    Duration delay = delay(attempts, failure);
    Instant next = clock.instant().plus(delay);
    boolean allowed =
        isRetryable(traits, failure.stage())
            && attempts < options.attemptsMax()
            && next.isBefore(traits.deadline())
            && tryUseBudget(failure.stage());
    if (!allowed) {
      return new RetryDecision.GiveUp(error(failure));
    }
    if (failure.stage() == AttemptFailure.Stage.PARTIAL) {
      return new RetryDecision.Resume(delay);
    }
    return new RetryDecision.Failover(delay);
  }

  /** A retry after a refusal is charged only if it is refused as well. */
  private boolean tryUseBudget(AttemptFailure.Stage stage) {
    return stage == AttemptFailure.Stage.REFUSED ? budget.isAvailable() : budget.tryWithdraw();
  }

  private static boolean isRetryable(RequestTraits traits, AttemptFailure.Stage stage) {
    return switch (stage) {
      case NOT_SENT, REFUSED -> true;
      case SENT -> traits.repeatable();
      case PARTIAL -> traits.repeatable() && traits.resumable();
    };
  }

  /**
   * Returns zero if the request is known not to have run, otherwise a random exponential backoff.
   */
  private Duration delay(int attempts, AttemptFailure failure) {
    if (didNotRun(failure.stage())) {
      return Duration.ZERO;
    }
    long backoff = options.delayBase().toMillis() << Math.min(attempts - 1, 16);
    long bounded = Math.min(backoff, options.delayMax().toMillis());
    return Duration.ofMillis((long) (bounded * uniform()));
  }

  private double uniform() {
    long draw = RendezvousHashing.combine(seed, draws.getAndIncrement());
    return (draw >>> 11) * DOUBLE_UNIT;
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
