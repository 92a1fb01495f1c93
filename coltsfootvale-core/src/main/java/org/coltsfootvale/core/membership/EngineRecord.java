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

/** What is known of one engine. Guarded by the lock of its owner. */
final class EngineRecord {

  final EngineId id;
  final FlapDamper damper;
  DataCentreId dataCentre;
  long incarnation;

  /** Orders observations; 0 while the engine has never been observed. */
  long version;

  /** The state without regard to {@link #leaving}; never LEAVING. */
  Liveness reachability = Liveness.SUSPECT;

  /** Whether this incarnation has been called leaving by any input. */
  boolean leaving;

  /** Whether the platform's host list calls the engine leaving now. */
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

  /** Returns the state that is published. */
  Liveness liveness() {
    if (reachability == Liveness.DEAD) {
      return Liveness.DEAD;
    }
    return leaving || listedLeaving ? Liveness.LEAVING : reachability;
  }

  /** Returns the view of this router, which avoids an engine that has failed it. */
  EngineView view(Instant now) {
    Liveness liveness = liveness();
    if (liveness == Liveness.LIVE && now.isBefore(avoidedUntil)) {
      liveness = Liveness.SUSPECT;
    }
    Instant since = liveness == Liveness.LIVE ? liveSince : null;
    return new EngineView(id, incarnation, liveness, since, load, weight);
  }

  /** Returns the entry for peers that know this incarnation. */
  GossipEntry compactEntry(Instant now) {
    EngineLoad known = load;
    if (reachability != Liveness.LIVE || known == null) {
      return fullEntry(now);
    }
    return new EngineLoadEntry(
        key(),
        version,
        known.outstandingRequests(),
        LoadQuantiser.quantise(known.queuedTokens()),
        LoadQuantiser.quantise(known.runningTokens()),
        ageMillis(known, now));
  }

  /** Returns the short name of this incarnation. */
  int key() {
    return EntryKeys.of(id, incarnation);
  }

  /** Returns the whole entry. */
  EngineEntry fullEntry(Instant now) {
    EngineLoad known = load;
    if (known == null) {
      return new EngineEntry(id, incarnation, version, liveness(), 0, 0, 0, 0);
    }
    return new EngineEntry(
        id,
        incarnation,
        version,
        liveness(),
        known.outstandingRequests(),
        LoadQuantiser.quantise(known.queuedTokens()),
        LoadQuantiser.quantise(known.runningTokens()),
        ageMillis(known, now));
  }

  private static long ageMillis(EngineLoad known, Instant now) {
    return Math.max(0, now.toEpochMilli() - known.reportedAt().toEpochMilli());
  }

  /** Returns the whole entry that a load entry about this incarnation stands for. */
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

  /** Takes the load of a peer's entry, unless the known report is fresher. */
  void adoptLoad(EngineEntry entry, Instant now) {
    Instant reportedAt = now.minusMillis(entry.ageMillis());
    EngineLoad known = load;
    if (known == null || reportedAt.isAfter(known.reportedAt())) {
      EngineLoad received =
          new EngineLoad(
              entry.outstandingRequests(), entry.queuedTokens(), entry.runningTokens(), reportedAt);
      load = received;
      publishedLoad = received;
    }
  }

  /** Tells whether peers should hear of a load report. */
  boolean isWorthSending(EngineLoad report, MembershipOptions options, Instant now) {
    EngineLoad published = publishedLoad;
    return published == null
        || !now.isBefore(publishedAt.plus(options.loadRefresh()))
        || LoadQuantiser.differs(published, report, options.loadChange());
  }
}
