package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.quarantine.QuarantineListener;
import org.coltsfootvale.core.quarantine.QuarantinedPart;

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
  public void onQuarantined(QuarantinedPart quarantinedPart, Optional<Long> answerNanos) {
    log.record(
        describe(DecisionEvent.PROMPT_PART_QUARANTINED, quarantinedPart)
            .with("replicas", replicas(quarantinedPart))
            .with("first_crash_age_millis", ageMillis(quarantinedPart.crashes().get(0).atNanos()))
            .with("latest_crash_age_millis", ageMillis(quarantinedPart.latestNanos()))
            .with("answer_age_millis", answerNanos.map(this::ageMillis).orElse(NEVER))
            .with("indistinguishable", PartNames.join(quarantinedPart.indistinguishable())));
  }

  @Override
  public void onConfirmed(QuarantinedPart quarantinedPart) {
    int cancelled = unanswered.cancelWith(quarantinedPart.part());
    log.record(
        describe(DecisionEvent.PROMPT_PART_CONFIRMED, quarantinedPart)
            .with("requests_cancelled", cancelled));
  }

  @Override
  public void onTrial(QuarantinedPart quarantinedPart) {
    log.record(describe(DecisionEvent.PROMPT_PART_TRIED, quarantinedPart));
  }

  @Override
  public void onReleased(String part, ReleaseCause cause) {
    log.record(
        Decision.of(DecisionEvent.PROMPT_PART_RELEASED)
            .with("part", part)
            .with("cause", cause.name()));
  }

  private static Decision describe(DecisionEvent event, QuarantinedPart quarantinedPart) {
    return Decision.of(event)
        .with("part", quarantinedPart.part())
        .with("crashes", quarantinedPart.crashes().size())
        .with("incidents", quarantinedPart.incidents());
  }

  private static String replicas(QuarantinedPart quarantinedPart) {
    return quarantinedPart.crashes().stream()
        .map(crash -> crash.replica().id())
        .collect(Collectors.joining(","));
  }

  private long ageMillis(long nanos) {
    return Duration.ofNanos(nanoTime.getAsLong() - nanos).toMillis();
  }
}
