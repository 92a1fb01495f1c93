package org.coltsfootvale.core.routing;

/**
 * A service of the desired state.
 *
 * @param name its name
 * @param connectionsMax the maximum number of connections that one replica accepts from all routers
 *     together
 * @param engine whether the replicas are model engines with a prompt cache
 */
public record RoutedService(String name, int connectionsMax, boolean engine) {}
