package org.coltsfootvale.core.routing;

/**
 * A service that a route sends requests to.
 *
 * @param service the service's name
 * @param weight its weight relative to the route's other services, 0 or more
 */
public record ServiceShare(String service, double weight) {}
