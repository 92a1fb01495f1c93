package org.coltsfootvale.router.operator;

import java.util.List;

/**
 * Where a release note is in force.
 *
 * @param id the note's id
 * @param revision its revision
 * @param routers each known router that is not dead
 * @param inForceEverywhere whether all of them have applied it
 */
public record NoteStatus(
    String id, long revision, List<RouterStatus> routers, boolean inForceEverywhere) {

  /** The newest revision that a router has confirmed. */
  public record RouterStatus(String router, long appliedRevision, String liveness) {}
}
