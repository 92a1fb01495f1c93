package org.coltsfootvale.core.placement;

/**
 * The estimated load of an engine.
 *
 * @param outstandingRequests requests accepted and not finished
 * @param queuedTokens prompt tokens accepted and not prefilled
 */
record LoadEstimate(int outstandingRequests, long queuedTokens) {}
