package org.coltsfootvale.core.routing;

import java.time.Duration;
import java.util.List;

/**
 * A route: the requests of a host whose path begins with a prefix.
 *
 * @param name the route's name
 * @param host the host name in lower case, without a port
 * @param prefix the beginning of the path; begins and ends with a slash
 * @param repeatability what may be repeated
 * @param timeout the longest time that a request may be kept
 * @param goal the time within which an answer, or the first event of a stream, is on time
 * @param priority the rank, 0 is the most urgent
 * @param services the services with their shares, at least one
 * @param attemptsMax the greatest number of replicas that one request may be sent to, 1 or more
 * @param anonymous whether requests need no key
 * @param cacheAware whether requests describe their prompt and gain from a replica's cache
 * @param resumable whether a stream may go on at another replica after its last event
 */
public record Route(
    String name,
    String host,
    String prefix,
    Repeatability repeatability,
    Duration timeout,
    Duration goal,
    int priority,
    List<ServiceShare> services,
    int attemptsMax,
    boolean anonymous,
    boolean cacheAware,
    boolean resumable) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request that may have run can be sent again from its beginning. */
  public boolean repeatable() {
    return repeatability == Repeatability.IDEMPOTENT;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return repeatability == Repeatability.STREAMING;
  }

  /**
   * Picks a service by the shares.
   *
   * @param uniform a number in [0, 1) that picks the service
   */
  public String pickService(double uniform) {
    double total = services.stream().mapToDouble(ServiceShare::weight).sum();
    double left = uniform * total;
    for (ServiceShare share : services) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return services.get(0).service();
  }
}
