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

/** The state of one incarnation of a router. Guarded by the lock of its owner. */
final class RouterRecord {

  final RouterIncarnation router;
  final DataCentreId dataCentre;
  final HostPort callerAddress;
  final HostPort peerAddress;
  final int key;
  long version;

  /** The liveness without regard to {@link #leaving}; never LEAVING. */
  Liveness reachability = Liveness.LIVE;

  /** Whether any source has reported this incarnation as leaving. */
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

  /** Returns the published liveness. */
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

  /** Returns the entry for peers that already hold this incarnation. */
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
    Integer current = load;
    return current == null ? 0 : current;
  }
}
