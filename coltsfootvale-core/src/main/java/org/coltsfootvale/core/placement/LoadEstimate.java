package org.coltsfootvale.core.placement;

/**
 * The estimated load of an engine.
 *
 * @param outstandingRequests requests accepted and not finished
 * @param queuedTokens prompt tokens accepted and not prefilled
 * @param exact whether it is the sum of the current loads of all routers instead of an estimate
 *     from a report
 */
record LoadEstimate(int outstandingRequests, long queuedTokens, boolean exact) {}
