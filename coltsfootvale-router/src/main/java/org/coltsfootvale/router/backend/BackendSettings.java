package org.coltsfootvale.router.backend;

import org.coltsfootvale.core.support.Checks;

/**
 * Time-outs and pool sizes of the connections to backend servers.
 *
 * @param connectTimeoutMillis the time-out for opening a connection, at least 1
 * @param firstTokenTimeoutMillis the inactivity time-out of an engine before its first chunk
 * @param tokenTimeoutMillis the inactivity time-out of an engine between two chunks
 * @param serviceTimeoutMillis the inactivity time-out of a plain service
 * @param provedAgeMillis how long an idle connection counts as alive; older ones are closed
 * @param idleConnectionsMax the maximum number of idle connections
 */
public record BackendSettings(
    int connectTimeoutMillis,
    int firstTokenTimeoutMillis,
    int tokenTimeoutMillis,
    int serviceTimeoutMillis,
    int provedAgeMillis,
    int idleConnectionsMax) {

  /** The default limits. */
  public static final BackendSettings DEFAULT =
      new BackendSettings(1_000, 20_000, 2_000, 30_000, 5_000, 512);

  /** Validates the ranges. */
  public BackendSettings {
    Checks.range(connectTimeoutMillis, 1, 60_000, "connectTimeoutMillis");
    Checks.range(firstTokenTimeoutMillis, 1, 600_000, "firstTokenTimeoutMillis");
    Checks.range(tokenTimeoutMillis, 1, 600_000, "tokenTimeoutMillis");
    Checks.range(serviceTimeoutMillis, 1, 600_000, "serviceTimeoutMillis");
    Checks.range(provedAgeMillis, 1, 600_000, "provedAgeMillis");
    Checks.range(idleConnectionsMax, 1, 100_000, "idleConnectionsMax");
  }
}
