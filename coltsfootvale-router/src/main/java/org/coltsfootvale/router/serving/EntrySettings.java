package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootvale.core.dispatch.ColdOptions;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.support.Checks;
import org.coltsfootvale.protocol.PeerTransport;

/**
 * The settings of an entry router.
 *
 * @param id its name
 * @param dataCentre where it runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform checks its readiness
 * @param directoryAddress where callers query the routers to use
 * @param peerAddress where other routers connect
 * @param seeds addresses of other routers, used while the store lists none
 * @param fleetSecret the secret that all routers of the fleet share
 * @param storeAddress the platform's store
 * @param firstStart whether the deployment starts for the first time
 * @param stopTimeout how long a stop may take before the process is killed
 * @param repeatRatio the retries that the fleet may make per request
 * @param repeatAllowance the further retries that the fleet may make in a window
 * @param repeatWindow the sliding window of the two figures above
 * @param metrics where metrics are served, if anywhere
 * @param capacityCores the processor time that the host gives it, in cores
 * @param memoryBytes the memory of the host, if it is known
 * @param descriptors the file descriptors that the host allows, if there is a limit
 * @param callerMemoryBytes the memory for requests and responses of callers, instead of the
 *     computed value
 * @param cold the bound on the requests to cold replicas
 * @param evacuationTimeMax how long after the operator's write the evacuation of a data centre is
 *     in force at the latest; if it is empty, evacuations are not read from the store
 */
public record EntrySettings(
    String id,
    String dataCentre,
    HostPort callerAddress,
    HostPort readinessAddress,
    HostPort directoryAddress,
    HostPort peerAddress,
    List<HostPort> seeds,
    String fleetSecret,
    HostPort storeAddress,
    boolean firstStart,
    Duration stopTimeout,
    double repeatRatio,
    double repeatAllowance,
    Duration repeatWindow,
    Optional<MetricsAddress> metrics,
    double capacityCores,
    OptionalLong memoryBytes,
    OptionalLong descriptors,
    OptionalLong callerMemoryBytes,
    ColdOptions cold,
    Optional<Duration> evacuationTimeMax) {

  /**
   * Copies the list and checks the secret.
   *
   * @throws IllegalArgumentException if the secret is too short
   */
  public EntrySettings {
    Checks.argument(
        fleetSecret.length() >= PeerTransport.SECRET_LENGTH_MIN,
        "the fleet secret is too short; give it %d characters or more",
        PeerTransport.SECRET_LENGTH_MIN);
    seeds = List.copyOf(seeds);
  }

  /** Returns these settings with the secret replaced, for a log line. */
  EntrySettings redacted() {
    return new EntrySettings(
        id,
        dataCentre,
        callerAddress,
        readinessAddress,
        directoryAddress,
        peerAddress,
        seeds,
        "(the secret is not shown)",
        storeAddress,
        firstStart,
        stopTimeout,
        repeatRatio,
        repeatAllowance,
        repeatWindow,
        metrics,
        capacityCores,
        memoryBytes,
        descriptors,
        callerMemoryBytes,
        cold,
        evacuationTimeMax);
  }

  /** Returns the prefix of the keys that are followed for the desired state. */
  String desiredStatePrefix(EntryFormats formats) {
    return evacuationTimeMax.isPresent() ? formats.operatorPrefix() : formats.desiredStateKey();
  }

  /** Returns what the router tells others of itself. */
  RouterAdvertisement advertisement() {
    return new RouterAdvertisement(id, dataCentre, callerAddress, peerAddress, capacityCores);
  }
}
