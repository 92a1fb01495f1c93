package org.coltsfootvale.core.dispatch;

/**
 * The bound on the requests that all routers together send to a cold replica in a second, relative
 * to the rate that the replica can handle.
 *
 * @param overage the factor on the rate; 0 if there is no bound
 * @param tolerance the requests allowed in addition
 */
public record ColdOptions(double overage, double tolerance) {

  /** No bound: replicas are never treated as cold. */
  public static final ColdOptions OFF = new ColdOptions(0, 0);

  /** Four routers may send, with a safety factor of 2 for differing views of the fleet. */
  private static final int SHARES = 2 * ColdAdmission.ROUTERS_PER_REPLICA;

  /** The bound from which each of the four routers may send one request. */
  private static final double BOUND_FOR_ONE = ColdAdmission.ROUTERS_PER_REPLICA;

  /** Returns whether there is a bound. */
  boolean enabled() {
    return overage > 0;
  }

  /**
   * Returns how many requests one admitted router may send to a cold replica in a window.
   *
   * @param perSecond the rate that a cold replica can handle
   */
  int share(double perSecond) {
    double bound = perSecond * overage + tolerance;
    int share = (int) (bound / SHARES);
    return share == 0 && bound >= BOUND_FOR_ONE ? 1 : share;
  }
}
