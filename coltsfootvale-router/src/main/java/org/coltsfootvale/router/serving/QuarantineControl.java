package org.coltsfootvale.router.serving;

import java.time.InstantSource;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.quarantine.QuarantineSaving;
import org.coltsfootvale.core.quarantine.TrialElection;
import org.coltsfootvale.core.store.RevisionedStore;

/** The quarantine of prompt parts with its exchange, its copy in the store and its enforcement. */
final class QuarantineControl {

  private final UnansweredAttempts unanswered = new UnansweredAttempts();
  private final PromptQuarantine quarantine;
  private final QuarantineUpdates updates;
  private final StoredQuarantine stored;

  QuarantineControl(
      String routerId,
      Supplier<Set<String>> peerIds,
      RevisionedStore store,
      DoubleSupplier random,
      InstantSource clock,
      LongSupplier nanoTime,
      DecisionLog log) {
    TrialElection election = new TrialElection(routerId, peerIds);
    quarantine =
        new PromptQuarantine(
            nanoTime, random, election, new QuarantineEnforcer(unanswered, nanoTime, log));
    updates = new QuarantineUpdates(quarantine, nanoTime);
    stored =
        new StoredQuarantine(
            store,
            quarantine,
            updates,
            new QuarantineSaving(quarantine, election, nanoTime),
            clock,
            nanoTime);
  }

  UnansweredAttempts unanswered() {
    return unanswered;
  }

  PromptQuarantine quarantine() {
    return quarantine;
  }

  QuarantineUpdates updates() {
    return updates;
  }

  /** Returns whether the stored quarantine is known, or has been waited for long enough. */
  boolean loaded() {
    return stored.loaded();
  }

  /** Forgets old evidence, and reads or writes the stored quarantine. */
  void tick() {
    quarantine.expire();
    stored.tick();
  }
}
