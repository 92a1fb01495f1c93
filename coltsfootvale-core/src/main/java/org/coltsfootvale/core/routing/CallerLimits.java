package org.coltsfootvale.core.routing;

import java.time.Duration;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param headerBytesMax the maximum size of a request's header section in bytes
 * @param bodyBytesMax the maximum size of a request's body in bytes
 * @param headerTimeout the maximum time for receiving a header section or the rest of a body
 * @param idleTimeout the maximum time that a connection may stay idle
 */
public record CallerLimits(
    int headerBytesMax, int bodyBytesMax, Duration headerTimeout, Duration idleTimeout) {}
