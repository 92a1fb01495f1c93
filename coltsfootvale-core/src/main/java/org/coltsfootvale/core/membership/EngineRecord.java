package org.coltsfootvale.core.membership;

import java.time.Instant;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
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
  Liveness answered = Liveness.SUSPECT;

  /** Whether this incarnation has been called leaving by any input. */
  boolean leaving;

  /** Whether the platform's host list calls the engine leaving now. */
  boolean listedLeaving;

  @Nullable EngineLoad load;
  @Nullable EngineLoad publishedLoad;
  Instant publishedAt = Instant.EPOCH;
  @Nullable Instant liveSince;
  Instant answeredAt = Instant.EPOCH;
  Instant suspectedAt = Instant.EPOCH;
  Instant suspicionAllowedAt = Instant.EPOCH;
  Instant avoidedUntil = Instant.EPOCH;
  int silences;
  double weight = 1.0;
  @Nullable RouterId learntFrom;

  /** Creates a record of an engine that has never been observed. */
  EngineRecord(EngineId id, DataCentreId dataCentre, MembershipOptions options) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.damper = new FlapDamper(options);
  }

  /** Returns the state that is published. */
  Liveness liveness() {
    if (answered == Liveness.DEAD) {
      return Liveness.DEAD;
    }
    return leaving || listedLeaving ? Liveness.LEAVING : answered;
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

  /** Returns the entry that is sent to peers. */
  EngineEntry entry(Instant now) {
    EngineLoad known = load;
    if (known == null) {
      return new EngineEntry(id, incarnation, version, liveness(), 0, 0, 0, 0);
    }
    long ageMillis = Math.max(0, now.toEpochMilli() - known.reportedAt().toEpochMilli());
    return new EngineEntry(
        id,
        incarnation,
        version,
        liveness(),
        LoadQuantiser.quantise(known.outstandingRequests()),
        LoadQuantiser.quantise(known.queuedTokens()),
        LoadQuantiser.quantise(known.runningTokens()),
        ageMillis);
  }
}
