package org.coltsfootvale.core.orders;

import org.coltsfootvale.core.model.PoolId;

/**
 * Tells whether this router may try to become a pool's order sender. Few routers at a time should
 * be candidates, so that the platform's calls do not grow with the fleet; more than one candidate
 * is safe.
 */
@FunctionalInterface
public interface OrderCandidates {

  /** Returns whether this router is a candidate for a pool now. */
  boolean isCandidate(PoolId pool);
}
