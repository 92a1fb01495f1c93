package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.quarantine.PartAnswer;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.quarantine.QuarantinedPart;
import org.coltsfootvale.core.quarantine.ReplicaCrash;
import org.coltsfootvale.protocol.wire.AnswerReport;
import org.coltsfootvale.protocol.wire.CrashReport;
import org.coltsfootvale.protocol.wire.RouterUpdate;

/**
 * Exchanges the evidence of the quarantine between routers. Times are sent as ages, as the clocks
 * of routers differ. Confined to the serving loop.
 */
final class QuarantineUpdates {

  private final PromptQuarantine quarantine;
  private final LongSupplier nanoTime;

  QuarantineUpdates(PromptQuarantine quarantine, LongSupplier nanoTime) {
    this.quarantine = quarantine;
    this.nanoTime = nanoTime;
  }

  /** Returns whether there is evidence that the other routers may not have received yet. */
  boolean pending() {
    return !quarantine.recentCrashes().isEmpty() || !quarantine.recentAnswers().isEmpty();
  }

  /** Sends all evidence again, for a router that was out of contact. */
  void republish() {
    quarantine.republish();
  }

  void addRecentTo(RouterUpdate.Builder update) {
    add(update, quarantine.recentCrashes(), quarantine.recentAnswers());
  }

  void addAllTo(RouterUpdate.Builder update) {
    add(update, quarantine.allCrashes(), quarantine.allAnswers());
  }

  private void add(
      RouterUpdate.Builder update, List<ReplicaCrash> crashes, List<PartAnswer> answers) {
    update.clearCrashes().clearPartAnswers();
    crashes.forEach(crash -> update.addCrashes(message(crash)));
    for (PartAnswer answer : answers) {
      update.addPartAnswers(
          AnswerReport.newBuilder()
              .setPart(answer.part())
              .setAgeMillis(ageMillis(answer.atNanos())));
    }
  }

  private CrashReport message(ReplicaCrash crash) {
    return CrashReport.newBuilder()
        .setId(crash.replica().id())
        .setBornMillis(crash.replica().startedMillis())
        .setAddress(crash.address().toString())
        .setAgeMillis(ageMillis(crash.atNanos()))
        .addAllParts(crash.parts())
        .build();
  }

  /** Returns the crashes that parts in quarantine explain, reduced to these parts. */
  List<CrashReport> crashesOf(List<QuarantinedPart> quarantinedParts) {
    Map<ReplicaCrash, Set<String>> parts = new LinkedHashMap<>();
    for (QuarantinedPart quarantinedPart : quarantinedParts) {
      for (ReplicaCrash crash : quarantinedPart.crashes()) {
        parts.computeIfAbsent(crash, absent -> new HashSet<>()).add(quarantinedPart.part());
      }
    }
    return parts.entrySet().stream()
        .map(entry -> message(entry.getKey().with(entry.getValue())))
        .toList();
  }

  /** Applies the evidence in an update from another router. */
  void onUpdate(RouterUpdate update) {
    // Answers come first, so that crashes before them put no part into quarantine.
    update
        .getPartAnswersList()
        .forEach(
            answer ->
                quarantine.onAnswer(
                    new PartAnswer(answer.getPart(), atNanos(answer.getAgeMillis()))));
    merge(update.getCrashesList(), Duration.ZERO);
  }

  /**
   * Applies crashes.
   *
   * @param elapsed the time since their ages were determined
   */
  void merge(List<CrashReport> crashes, Duration elapsed) {
    for (CrashReport crash : crashes) {
      quarantine.onCrash(
          new ReplicaCrash(
              new ReplicaCrash.Incarnation(crash.getId(), crash.getBornMillis()),
              HostPort.parse(crash.getAddress()),
              Set.copyOf(crash.getPartsList()),
              atNanos(crash.getAgeMillis()) - elapsed.toNanos()));
    }
  }

  private long ageMillis(long nanos) {
    return Math.max(0, Duration.ofNanos(nanoTime.getAsLong() - nanos).toMillis());
  }

  private long atNanos(long ageMillis) {
    return nanoTime.getAsLong() - Duration.ofMillis(ageMillis).toNanos();
  }
}
