package org.coltsfootvale.core.membership;

import java.util.HashSet;
import java.util.Set;
import org.coltsfootvale.core.model.RouterId;

/** The peers that are known to hold the newest version of an entry. Not thread-safe. */
final class Holders {

  private final Set<RouterId> peers = new HashSet<>(4);

  /** Forgets all, because this router has made a new version. */
  void clear() {
    peers.clear();
  }

  /** Takes the peer that has sent a new version. */
  void replace(RouterId peer) {
    peers.clear();
    peers.add(peer);
  }

  /** Takes a peer that has sent the known version. */
  void add(RouterId peer) {
    peers.add(peer);
  }

  /** Returns the peers. */
  Set<RouterId> peers() {
    return Set.copyOf(peers);
  }
}
