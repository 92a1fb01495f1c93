package org.coltsfootvale.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the desired state. Immutable. */
public final class RoutingState {

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, RoutedService> services = new HashMap<>();
  private final Organisations organisations;
  private final boolean keysRequired;
  private final CallerLimits limits;

  /**
   * Creates a version of the desired state.
   *
   * @param version its number; later versions have greater numbers
   * @param routes all routes
   * @param services all services
   * @param organisations the organisations with their API keys
   * @param keysRequired whether routes that are not anonymous need an API key
   * @param limits the limits on callers' requests
   */
  public RoutingState(
      long version,
      List<Route> routes,
      List<RoutedService> services,
      Organisations organisations,
      boolean keysRequired,
      CallerLimits limits) {
    this.version = version;
    this.organisations = organisations;
    this.keysRequired = keysRequired;
    this.limits = limits;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(lowerCase(route.host()), host -> new ArrayList<>()).add(route);
    }
    for (List<Route> hostRoutes : routesByHost.values()) {
      hostRoutes.sort(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed());
    }
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /** Returns the number of this version. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether routes that are not anonymous need an API key. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /** Returns the organisation of an API key. */
  public Optional<Organisation> organisationOf(String key) {
    return organisations.of(key);
  }

  /** Returns the organisations. */
  public Organisations organisations() {
    return organisations;
  }

  /**
   * Returns whether a route accepts requests with an API key, or without one. The key of an
   * unusable organisation is denied on all routes, as its requests would run as nobody's.
   */
  public boolean admits(Route route, Optional<String> key) {
    if (key.filter(organisations::isWithdrawn).isPresent()) {
      return false;
    }
    return !keysRequired || route.anonymous() || key.flatMap(this::organisationOf).isPresent();
  }

  /** Returns a service by its name. */
  public Optional<RoutedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Finds the route of a request: the host's route with the longest matching path prefix. The case
   * of ASCII letters of the host is ignored.
   *
   * @param hostHeader the host as the caller sent it, possibly with a port
   * @param target the request target; its query is ignored
   */
  public Optional<Route> route(String hostHeader, String target) {
    List<Route> hostRoutes = routesByHost.get(hostName(hostHeader));
    if (hostRoutes == null) {
      return Optional.empty();
    }
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    return hostRoutes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
  }

  private static String hostName(String hostHeader) {
    int colon = hostHeader.lastIndexOf(':');
    String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
    return lowerCase(name);
  }

  /**
   * Lowers the case of ASCII letters only. A character beyond ASCII stands for one byte of several
   * here, and Unicode's mapping would make different hosts the same.
   */
  private static String lowerCase(String host) {
    StringBuilder lower = new StringBuilder(host.length());
    host.chars()
        .map(c -> c >= 'A' && c <= 'Z' ? Character.toLowerCase(c) : c)
        .forEach(lower::appendCodePoint);
    return lower.toString();
  }
}
