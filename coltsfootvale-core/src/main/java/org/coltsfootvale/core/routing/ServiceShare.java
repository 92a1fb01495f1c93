package org.coltsfootvale.core.routing;

/**
 * A service that a route sends requests to.
 *
 * @param service the service's name
 * @param weight its share of the route's requests relative to the other services, 0 or more
 */
public record ServiceShare(String service, double weight) {}
