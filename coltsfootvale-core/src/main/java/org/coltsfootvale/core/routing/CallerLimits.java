package org.coltsfootvale.core.routing;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytesMax the greatest size of a request's head
 * @param bodyBytesMax the greatest size of a request's body
 * @param headerTimeout the longest time for sending a head or the rest of a body
 * @param idleTimeout the longest time that a connection may stay unused
 */
public record CallerLimits(
    int headerBytesMax, int bodyBytesMax, Duration headerTimeout, Duration idleTimeout) {}
