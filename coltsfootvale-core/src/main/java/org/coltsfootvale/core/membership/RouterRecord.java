package org.coltsfootvale.core.membership;

import java.time.Instant;
import org.coltsfootvale.core.gossip.EntryKeys;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterLoadEntry;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.jspecify.annotations.Nullable;

/** What is known of one incarnation of a router. Guarded by the lock of its owner. */
final class RouterRecord {

  final RouterIncarnation router;
  final DataCentreId dataCentre;
  final HostPort callerAddress;
  final HostPort peerAddress;
  final int key;
  long version;

  /** The state without regard to {@link #leaving}; never LEAVING. */
  Liveness reachability = Liveness.LIVE;

  /** Whether this incarnation has been called leaving by any input. */
  boolean leaving;

  @Nullable Integer load;
  long appliedRevision;
  Instant changedAt;
  Instant suspicionAllowedAt = Instant.EPOCH;
  int refutations;

  /** The peers that have sent the newest version. */
  final Holders holders = new Holders();

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
    this.key = EntryKeys.of(router);
  }

  /** Returns the state that is published. */
  Liveness liveness() {
    if (reachability == Liveness.DEAD) {
      return Liveness.DEAD;
    }
    return leaving ? Liveness.LEAVING : reachability;
  }

  /** Returns the view. */
  RouterView view() {
    return new RouterView(
        router, liveness(), dataCentre, callerAddress, peerAddress, load, appliedRevision);
  }

  /** Returns the entry for peers that know this incarnation. */
  GossipEntry compactEntry() {
    if (reachability != Liveness.LIVE) {
      return fullEntry();
    }
    return new RouterLoadEntry(key, version, loadOrZero(), appliedRevision);
  }

  /** Returns the entry with addresses. */
  RouterEntry fullEntry() {
    return new RouterEntry(
        router,
        version,
        liveness(),
        dataCentre,
        callerAddress,
        peerAddress,
        loadOrZero(),
        appliedRevision);
  }

  private int loadOrZero() {
    Integer known = load;
    return known == null ? 0 : known;
  }
}
