package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.quarantine.Conviction;
import org.coltsfootvale.core.quarantine.QuarantineListener;

/**
 * Logs changes of the quarantine with their evidence, and cancels attempts with parts that are
 * confirmed to crash replicas. Confined to the serving loop.
 */
final class QuarantineEnforcer implements QuarantineListener {

  /** The logged age of an answer that is not known. */
  private static final long NEVER = -1;

  private final UnansweredAttempts unanswered;
  private final LongSupplier nanoTime;
  private final DecisionLog log;

  QuarantineEnforcer(UnansweredAttempts unanswered, LongSupplier nanoTime, DecisionLog log) {
    this.unanswered = unanswered;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  @Override
  public void onQuarantined(Conviction conviction, Optional<Long> answerNanos) {
    log.record(
        describe(DecisionEvent.PROMPT_PART_QUARANTINED, conviction)
            .with("replicas", replicas(conviction))
            .with("first_crash_age_millis", ageMillis(conviction.crashes().get(0).atNanos()))
            .with("latest_crash_age_millis", ageMillis(conviction.latestNanos()))
            .with("answer_age_millis", answerNanos.map(this::ageMillis).orElse(NEVER))
            .with("indistinguishable", PartNames.join(conviction.indistinguishable())));
  }

  @Override
  public void onConfirmed(Conviction conviction) {
    int cancelled = unanswered.cancelWith(conviction.part());
    log.record(
        describe(DecisionEvent.PROMPT_PART_CONFIRMED, conviction)
            .with("requests_cancelled", cancelled));
  }

  @Override
  public void onTrial(Conviction conviction) {
    log.record(describe(DecisionEvent.PROMPT_PART_TRIED, conviction));
  }

  @Override
  public void onReleased(String part, ReleaseCause cause) {
    log.record(
        Decision.of(DecisionEvent.PROMPT_PART_RELEASED)
            .with("part", part)
            .with("cause", cause.name()));
  }

  private static Decision describe(DecisionEvent event, Conviction conviction) {
    return Decision.of(event)
        .with("part", conviction.part())
        .with("crashes", conviction.crashes().size())
        .with("incidents", conviction.incidents());
  }

  private static String replicas(Conviction conviction) {
    return conviction.crashes().stream()
        .map(crash -> crash.replica().id())
        .collect(Collectors.joining(","));
  }

  private long ageMillis(long nanos) {
    return Duration.ofNanos(nanoTime.getAsLong() - nanos).toMillis();
  }
}
