package org.coltsfootvale.core.membership;

import java.util.HashSet;
import java.util.Set;
import org.coltsfootvale.core.model.RouterId;

/** The peers that hold the newest version of an entry. Not thread-safe. */
final class Holders {

  private final Set<RouterId> peers = new HashSet<>(4);

  /** Removes all peers, because this router has created a new version. */
  void clear() {
    peers.clear();
  }

  /** Replaces all peers by the one that has sent a new version. */
  void replace(RouterId peer) {
    peers.clear();
    peers.add(peer);
  }

  /** Adds a peer that has sent the current version. */
  void add(RouterId peer) {
    peers.add(peer);
  }

  /** Returns the peers. */
  Set<RouterId> peers() {
    return Set.copyOf(peers);
  }
}
