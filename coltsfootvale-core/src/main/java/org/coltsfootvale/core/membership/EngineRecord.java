package org.coltsfootvale.core.membership;

import java.time.Instant;
import org.coltsfootvale.core.gossip.EntryKeys;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.gossip.GossipEntry.EngineLoadEntry;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.Liveness;
import org.jspecify.annotations.Nullable;

/** The state of one engine. Guarded by the lock of its owner. */
final class EngineRecord {

  final EngineId id;
  final FlapDamper damper;
  DataCentreId dataCentre;
  long incarnation;

  /** Orders observations; 0 while the engine has never been observed. */
  long version;

  /** The liveness without regard to {@link #leaving}; never LEAVING. */
  Liveness reachability = Liveness.SUSPECT;

  /** Whether any source has reported this incarnation as leaving. */
  boolean leaving;

  /** Whether the platform's host list currently marks the engine as leaving. */
  boolean listedLeaving;

  @Nullable EngineLoad load;
  @Nullable EngineLoad publishedLoad;
  Instant publishedAt = Instant.EPOCH;
  @Nullable Instant liveSince;
  Instant lastAnswerAt = Instant.EPOCH;
  Instant suspectedAt = Instant.EPOCH;
  Instant suspicionAllowedAt = Instant.EPOCH;
  Instant avoidedUntil = Instant.EPOCH;
  int unansweredProbes;
  double weight = 1.0;

  /** The peers that have sent the newest version. */
  final Holders holders = new Holders();

  /** Creates a record of an engine that has never been observed. */
  EngineRecord(EngineId id, DataCentreId dataCentre, MembershipOptions options) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.damper = new FlapDamper(options);
  }

  /** Returns the published liveness. */
  Liveness liveness() {
    if (reachability == Liveness.DEAD) {
      return Liveness.DEAD;
    }
    return leaving || listedLeaving ? Liveness.LEAVING : reachability;
  }

  /** Returns this router's view, in which a recently failed engine is suspect. */
  EngineView view(Instant now) {
    Liveness liveness = liveness();
    if (liveness == Liveness.LIVE && now.isBefore(avoidedUntil)) {
      liveness = Liveness.SUSPECT;
    }
    Instant since = liveness == Liveness.LIVE ? liveSince : null;
    return new EngineView(id, incarnation, liveness, since, load, weight);
  }

  /** Returns the entry for peers that already hold this incarnation. */
  GossipEntry compactEntry(Instant now) {
    EngineLoad current = load;
    if (reachability != Liveness.LIVE || current == null) {
      return fullEntry(now);
    }
    return new EngineLoadEntry(
        key(),
        version,
        current.outstandingRequests(),
        LoadQuantiser.quantise(current.queuedTokens()),
        LoadQuantiser.quantise(current.runningTokens()),
        ageMillis(current, now));
  }

  /** Returns the short key of this incarnation. */
  int key() {
    return EntryKeys.of(id, incarnation);
  }

  /** Returns the full entry. */
  EngineEntry fullEntry(Instant now) {
    EngineLoad current = load;
    if (current == null) {
      return new EngineEntry(id, incarnation, version, liveness(), 0, 0, 0, 0);
    }
    return new EngineEntry(
        id,
        incarnation,
        version,
        liveness(),
        current.outstandingRequests(),
        LoadQuantiser.quantise(current.queuedTokens()),
        LoadQuantiser.quantise(current.runningTokens()),
        ageMillis(current, now));
  }

  private static long ageMillis(EngineLoad current, Instant now) {
    return Math.max(0, now.toEpochMilli() - current.reportedAt().toEpochMilli());
  }

  /** Returns the full entry that corresponds to a load entry of this incarnation. */
  EngineEntry expand(EngineLoadEntry entry) {
    return new EngineEntry(
        id,
        incarnation,
        entry.version(),
        leaving || listedLeaving ? Liveness.LEAVING : Liveness.LIVE,
        entry.outstandingRequests(),
        entry.queuedTokens(),
        entry.runningTokens(),
        entry.ageMillis());
  }

  /** Adopts the load of a peer's entry, unless the current report is newer. */
  void adoptLoad(EngineEntry entry, Instant now) {
    Instant reportedAt = now.minusMillis(entry.ageMillis());
    EngineLoad current = load;
    if (current == null || reportedAt.isAfter(current.reportedAt())) {
      EngineLoad received =
          new EngineLoad(
              entry.outstandingRequests(), entry.queuedTokens(), entry.runningTokens(), reportedAt);
      load = received;
      publishedLoad = received;
    }
  }

  /** Returns whether a load report is to be sent to peers. */
  boolean isWorthSending(EngineLoad report, MembershipOptions options, Instant now) {
    EngineLoad published = publishedLoad;
    return published == null
        || !now.isBefore(publishedAt.plus(options.loadRefresh()))
        || LoadQuantiser.differs(published, report, options.loadChange());
  }
}
