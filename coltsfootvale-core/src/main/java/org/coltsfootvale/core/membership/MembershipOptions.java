package org.coltsfootvale.core.membership;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The timeouts, thresholds and bounds of membership.
 *
 * @param suspicionTimeout how long a suspected router may take to refute the suspicion
 * @param deadRetention how long a dead router is kept
 * @param engineDeadTimeout how long a suspected engine may take to answer an observer
 * @param unansweredProbesMax unanswered probes in a row after which an engine is suspected
 * @param localSuspicion how long a router that does not observe an engine avoids it after a failure
 * @param flapWindow the time within which recoveries of an engine are counted
 * @param flapRecoveriesMax the largest number of recoveries within the window that take effect at
 *     once
 * @param flapHold how long an engine that recovers more often must answer before it is live;
 *     doubles with each further recovery, up to the window
 * @param loadChange the smallest relative change of an engine's load that is sent
 * @param loadRefresh the longest time after which a load report is sent although it has not changed
 * @param ownLoadChange the smallest change of this router's own load, in 1/255ths, that is sent
 * @param routersMax the largest number of routers kept
 * @param observersPerEngine the number of routers that probe an engine
 */
public record MembershipOptions(
    Duration suspicionTimeout,
    Duration deadRetention,
    Duration engineDeadTimeout,
    int unansweredProbesMax,
    Duration localSuspicion,
    Duration flapWindow,
    int flapRecoveriesMax,
    Duration flapHold,
    double loadChange,
    Duration loadRefresh,
    int ownLoadChange,
    int routersMax,
    int observersPerEngine) {

  /** The values for a fleet of up to a few hundred routers. */
  public static final MembershipOptions DEFAULT =
      new MembershipOptions(
          Duration.ofSeconds(3),
          Duration.ofMinutes(10),
          Duration.ofSeconds(3),
          2,
          Duration.ofSeconds(2),
          Duration.ofMinutes(1),
          2,
          Duration.ofSeconds(5),
          0.15,
          Duration.ofSeconds(10),
          25,
          4_096,
          2);

  /** Checks the bounds. */
  public MembershipOptions {
    Checks.argument(routersMax >= 1, "routersMax must be at least 1, but is %d", routersMax);
    Checks.argument(
        observersPerEngine >= 1,
        "observersPerEngine must be at least 1, but is %d",
        observersPerEngine);
  }
}
