package org.coltsfootvale.core.routing;

import java.time.Duration;
import java.util.List;

/**
 * A route for the requests to a host whose path begins with a prefix. Host and prefix are held as
 * the heads of requests represent them.
 *
 * @param name the route's name
 * @param host the host name, without a port
 * @param prefix the beginning of the path; begins and ends with a slash
 * @param repeatability whether requests may be sent again
 * @param timeout the maximum duration of a request
 * @param goal the target latency of an answer, or of the first event of a stream
 * @param priority the priority, 0 is the most urgent
 * @param services the services with their weights, at least one
 * @param attemptsMax the maximum number of replicas that one request may be sent to, at least 1
 * @param anonymous whether requests need no API key
 * @param cacheAware whether requests describe their prompt and benefit from a replica's prompt
 *     cache
 * @param resumable whether a stream may be resumed at another replica after its last event
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

  /** Returns whether a request that may have run can be sent again from the start. */
  public boolean repeatable() {
    return repeatability == Repeatability.IDEMPOTENT;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return repeatability == Repeatability.STREAMING;
  }

  /**
   * Picks a service with a probability proportional to its weight.
   *
   * @param uniform a uniformly distributed random number in [0, 1)
   */
  public String pickService(double uniform) {
    double total = services.stream().mapToDouble(ServiceShare::weight).sum();
    double remaining = uniform * total;
    for (ServiceShare share : services) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return services.get(0).service();
  }
}
