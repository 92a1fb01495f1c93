package org.coltsfootvale.core.routing;

import java.time.Duration;

/**
 * A service of the desired state.
 *
 * @param name its name
 * @param connectionsMax the maximum number of connections that one replica accepts from all routers
 *     together
 * @param engine whether the replicas are model engines with a prompt cache
 * @param coldTime how long a replica is cold after a start during traffic; zero if never
 * @param coldPerSecond the requests that a cold replica can handle in a second; 0 if not limited
 */
public record RoutedService(
    String name, int connectionsMax, boolean engine, Duration coldTime, double coldPerSecond) {

  /** Creates a service whose replicas are never cold. */
  public RoutedService(String name, int connectionsMax, boolean engine) {
    this(name, connectionsMax, engine, Duration.ZERO, 0);
  }

  /** Returns whether the requests to its cold replicas are limited. */
  public boolean boundsCold() {
    return !coldTime.isZero() && coldPerSecond > 0;
  }
}
