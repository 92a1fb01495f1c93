package org.coltsfootvale.core.replica;

/**
 * The departure of one incarnation of a backend server.
 *
 * @param id the id of the server
 * @param startedMillis the start time of the incarnation in Unix milliseconds
 * @param announced whether the server itself announced its departure; it then never returns, while
 *     a server that only vanished from the store may return
 * @param era the era of the store at the time of the departure
 */
public record Departure(String id, long startedMillis, boolean announced, long era) {

  /** Returns whether a replica is the incarnation that departed. */
  boolean matches(Replica replica) {
    return id.equals(replica.id()) && startedMillis == replica.startedMillis();
  }
}
