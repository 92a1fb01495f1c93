package org.coltsfootvale.core.placement;

/**
 * The estimated load of an engine.
 *
 * @param outstandingRequests requests accepted and not finished
 * @param queuedTokens prompt tokens accepted and not prefilled
 * @param fresh whether it rests on what all routers have outstanding now, not on a report
 */
record LoadEstimate(int outstandingRequests, long queuedTokens, boolean fresh) {}
