package org.coltsfootvale.core.model;

import java.time.Instant;

/**
 * A load report of an engine, as read by an observer.
 *
 * @param outstandingRequests requests accepted and not yet finished
 * @param queuedTokens prompt tokens accepted and not yet prefilled
 * @param runningTokens expected tokens of running requests still to be generated
 * @param reportedAt the time at which the observer read the report, by the reader's own clock
 */
public record EngineLoad(
    int outstandingRequests, long queuedTokens, long runningTokens, Instant reportedAt) {}
