package org.coltsfootvale.core.membership;

import java.time.Instant;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.jspecify.annotations.Nullable;

/** What is known of one incarnation of a router. Guarded by the lock of its owner. */
final class RouterRecord {

  final RouterIncarnation router;
  final DataCentreId dataCentre;
  final HostPort callerAddress;
  final HostPort peerAddress;
  long version;

  /** The state without regard to {@link #leaving}; never LEAVING. */
  Liveness answered = Liveness.LIVE;

  /** Whether this incarnation has been called leaving by any input. */
  boolean leaving;

  @Nullable Integer load;
  long appliedRevision;
  Instant changedAt;
  Instant suspicionAllowedAt = Instant.EPOCH;
  int refutations;
  @Nullable RouterId learntFrom;

  /** Creates a record of a live router. */
  RouterRecord(
      RouterIncarnation router,
      DataCentreId dataCentre,
      HostPort callerAddress,
      HostPort peerAddress,
      Instant now) {
    this.router = router;
    this.dataCentre = dataCentre;
    this.callerAddress = callerAddress;
    this.peerAddress = peerAddress;
    this.changedAt = now;
  }

  /** Returns the state that is published. */
  Liveness liveness() {
    if (answered == Liveness.DEAD) {
      return Liveness.DEAD;
    }
    return leaving ? Liveness.LEAVING : answered;
  }

  /** Returns the view. */
  RouterView view() {
    return new RouterView(
        router, liveness(), dataCentre, callerAddress, peerAddress, load, appliedRevision);
  }

  /** Returns the entry with addresses. */
  RouterEntry wholeEntry() {
    return entry(dataCentre, callerAddress, peerAddress);
  }

  /** Returns the entry without addresses, for peers that know this incarnation. */
  RouterEntry shortEntry() {
    return entry(null, null, null);
  }

  private RouterEntry entry(
      @Nullable DataCentreId dataCentre,
      @Nullable HostPort callerAddress,
      @Nullable HostPort peerAddress) {
    int known = load == null ? 0 : load;
    return new RouterEntry(
        router,
        version,
        liveness(),
        dataCentre,
        callerAddress,
        peerAddress,
        known,
        appliedRevision);
  }
}
