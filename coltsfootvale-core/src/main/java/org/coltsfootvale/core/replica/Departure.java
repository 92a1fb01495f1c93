package org.coltsfootvale.core.replica;

/**
 * The departure of one start of a backend server.
 *
 * @param id the name that the server had registered under
 * @param startedMillis the time of its start in Unix milliseconds
 * @param announced whether the server itself has said that it leaves; it then never comes back,
 *     while one that merely vanished from the store may
 * @param era the era of the store in which it departed
 */
public record Departure(String id, long startedMillis, boolean announced, long era) {

  /** Returns whether a record tells of the start that has departed. */
  boolean matches(Replica replica) {
    return id.equals(replica.id()) && startedMillis == replica.startedMillis();
  }
}
