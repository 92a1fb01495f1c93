package org.coltsfootvale.core.overload;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which connection of a listener is closed when it has too many. Reads the state of the
 * connections only then, so that requests cost nothing. Confined to one thread.
 *
 * @param <C> the connections
 */
public final class ConnectionLimit<C extends ConnectionLimit.Connection> {

  /** The least limit of the callers' listener, also on a host with few descriptors. */
  private static final long CALLERS_MIN = 64;

  /** The least limit of another listener; a check of the platform needs one connection. */
  private static final long ENDPOINT_MIN = 16;

  /** Descriptors that the host reserves for files; sockets share the remainder. */
  private static final long RESERVED_DESCRIPTORS = 200;

  /**
   * One in this many descriptors is for a listener of the directory, readiness or metrics. Together
   * with the callers' share, three of them leave room for connections to replicas, peers and the
   * store.
   */
  private static final long ENDPOINT_DIVISOR = 32;

  /** The state of a connection. */
  public interface Connection {

    /** Returns whether the connection has no request in progress. */
    boolean idle();

    /** Returns since when an idle connection has been idle, by the monotonic clock. */
    long idleSinceNanos();
  }

  private final long connectionsMax;
  private final Set<C> connections = new LinkedHashSet<>();

  /** Creates a limit with the maximum number of connections. */
  ConnectionLimit(long connectionsMax) {
    this.connectionsMax = connectionsMax;
  }

  /**
   * Returns the limit of the connections of callers; a quarter of the descriptors that are not
   * reserved is left to connections to replicas.
   *
   * @param descriptors the descriptors that the host allows; no limit if empty
   */
  public static <C extends Connection> ConnectionLimit<C> ofCallers(OptionalLong descriptors) {
    return of(descriptors, CALLERS_MIN, (descriptors.orElse(0) - RESERVED_DESCRIPTORS) * 3 / 4);
  }

  /**
   * Returns the limit of one listener of the directory, readiness or metrics.
   *
   * @param descriptors the descriptors that the host allows; no limit if empty
   */
  public static <C extends Connection> ConnectionLimit<C> ofEndpoint(OptionalLong descriptors) {
    return of(descriptors, ENDPOINT_MIN, descriptors.orElse(0) / ENDPOINT_DIVISOR);
  }

  private static <C extends Connection> ConnectionLimit<C> of(
      OptionalLong descriptors, long connectionsMin, long connectionsMax) {
    return new ConnectionLimit<>(
        descriptors.isPresent() ? Math.max(connectionsMin, connectionsMax) : Long.MAX_VALUE);
  }

  /**
   * Adds a new connection. Returns the one to close, which is removed: the one that has been idle
   * for longest, or the new one if no other is idle; empty while the limit is not reached.
   */
  public Optional<C> add(C connection) {
    if (connections.size() < connectionsMax) {
      connections.add(connection);
      return Optional.empty();
    }
    Optional<C> idleLongest = idleLongest();
    if (idleLongest.isEmpty()) {
      return Optional.of(connection);
    }
    connections.remove(idleLongest.get());
    connections.add(connection);
    return idleLongest;
  }

  private Optional<C> idleLongest() {
    C longest = null;
    for (C connection : connections) {
      if (connection.idle()
          && (longest == null || connection.idleSinceNanos() - longest.idleSinceNanos() < 0)) {
        longest = connection;
      }
    }
    return Optional.ofNullable(longest);
  }

  /** Removes a connection that was closed; does nothing if it was removed before. */
  public void remove(C connection) {
    connections.remove(connection);
  }

  /** Returns the number of connections. */
  public int size() {
    return connections.size();
  }
}
