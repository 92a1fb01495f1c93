package org.coltsfootvale.core.gossip;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** The versioned entries that gossip spreads, in the order of their last change. Thread-safe. */
public interface EntryStore {

  /** Returns the known routers, this one among them. */
  List<RouterView> routers();

  /** Returns a router, or empty if it is unknown. */
  Optional<RouterView> router(RouterId id);

  /** Returns the newest release revision that this router has applied. */
  long appliedRevision();

  /** Returns a hash of all liveness and incarnations; equal for stores that agree on them. */
  long digest();

  /** Returns a count that grows with each change of a router's liveness or incarnation. */
  long routerChanges();

  /**
   * Takes an entry and keeps it if it is newer than the known one.
   *
   * @param from the peer that sent it
   */
  MergeResult merge(RouterId from, GossipEntry entry);

  /**
   * Returns changes of a class after a position, oldest first.
   *
   * @param entryClass the class
   * @param sequence a position that an earlier call returned, or 0 for the first change
   * @param limit the largest number of changes returned, at least 1
   */
  List<Change> changesAfter(EntryClass entryClass, long sequence, int limit);

  /** Tells whether there are changes of a class after a position. */
  boolean hasAfter(EntryClass entryClass, long sequence);

  /** Returns the number of changes of a class after a position, counted up to a limit. */
  int countAfter(EntryClass entryClass, long sequence, int limit);

  /** Returns this router's own whole entry. */
  GossipEntry.RouterEntry ownEntry();

  /** Returns the whole entry of a router, or empty if it is unknown. */
  Optional<GossipEntry.RouterEntry> routerEntry(RouterId router);

  /** Records that a peer has not been heard for longer than the silence timeout. */
  void onPeerSilent(RouterId peer);

  /** What became of a received entry. */
  enum MergeResult {
    /** It was newer and has been kept. */
    APPLIED,
    /** It is known already. */
    DUPLICATE,
    /** It was older than the known one. */
    STALE,
    /** Its subject is unknown here and the entry does not describe it, or there is no room. */
    IGNORED
  }

  /**
   * A change.
   *
   * @param sequence its position
   * @param holders peers that have sent the same version
   * @param entry the entry as it is now
   */
  record Change(long sequence, Set<RouterId> holders, GossipEntry entry) {}
}
