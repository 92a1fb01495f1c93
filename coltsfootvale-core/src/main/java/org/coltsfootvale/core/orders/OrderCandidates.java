package org.coltsfootvale.core.orders;

import org.coltsfootvale.core.model.PoolId;

/**
 * Determines whether this router may try to become the order sender of a pool. Only few routers
 * should be candidates at a time, so that the number of platform calls does not grow with the
 * fleet; more than one candidate is safe.
 */
@FunctionalInterface
public interface OrderCandidates {

  /** Returns whether this router is currently a candidate for a pool. */
  boolean isCandidate(PoolId pool);
}
