package org.coltsfootvale.core.gossip;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** The versioned entries that gossip exchanges, in the order of their last change. Thread-safe. */
public interface EntryStore {

  /** Returns all routers, including this one. */
  List<RouterView> routers();

  /** Returns a router, or empty if it is unknown. */
  Optional<RouterView> router(RouterId id);

  /** Returns the newest release revision that this router has applied. */
  long appliedRevision();

  /** Returns a hash of all liveness and incarnations; equal for stores that agree on them. */
  long digest();

  /** Returns a count that increases with each change of a router's liveness or incarnation. */
  long routerChanges();

  /**
   * Applies a received entry if it is newer than the current one.
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

  /** Returns whether there are changes of a class after a position. */
  boolean hasAfter(EntryClass entryClass, long sequence);

  /** Returns the number of changes of a class after a position, counted up to a limit. */
  int countAfter(EntryClass entryClass, long sequence, int limit);

  /** Returns this router's own full entry. */
  GossipEntry.RouterEntry ownEntry();

  /** Returns the full entry of a router, or empty if it is unknown. */
  Optional<GossipEntry.RouterEntry> routerEntry(RouterId router);

  /** Records that no message of a peer has arrived within the peer timeout. */
  void onPeerSilent(RouterId peer);

  /** The result of merging a received entry. */
  enum MergeResult {
    /** The entry was newer and has been applied. */
    APPLIED,
    /** The entry contains nothing new. */
    DUPLICATE,
    /** The entry was older than the current one. */
    STALE,
    /** The subject is unknown and the entry does not describe it fully, or the table is full. */
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
