package org.coltsfootvale.core.quarantine;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.coltsfootvale.core.support.RendezvousHashing;

/** Elects one router of the fleet for the trials of a part, by rendezvous hashing. */
public final class TrialElection implements Predicate<String> {

  private final String ownId;
  private final Supplier<Set<String>> peerIds;

  /**
   * Creates an election.
   *
   * @param ownId the id of this router
   * @param peerIds returns the ids of the other routers in contact
   */
  public TrialElection(String ownId, Supplier<Set<String>> peerIds) {
    this.ownId = ownId;
    this.peerIds = peerIds;
  }

  /** Returns whether this router makes the trials of a part. */
  @Override
  public boolean test(String part) {
    Set<String> routers = new HashSet<>(peerIds.get());
    routers.add(ownId);
    return RendezvousHashing.winner(RendezvousHashing.hash(part), routers, RendezvousHashing::hash)
        .filter(ownId::equals)
        .isPresent();
  }
}
