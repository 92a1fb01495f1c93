package org.coltsfootvale.core.model;

import org.jspecify.annotations.Nullable;

/**
 * What one router knows of another router.
 *
 * @param router the router and its incarnation
 * @param liveness its state
 * @param dataCentre its data centre
 * @param callerAddress host and port that callers connect to
 * @param peerAddress host and port of the inner protocol
 * @param load its share of the capacity in use, in 1/255ths, or null if unknown
 * @param appliedRevision the newest release revision it has confirmed, 0 if none
 */
public record RouterView(
    RouterIncarnation router,
    Liveness liveness,
    DataCentreId dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    @Nullable Integer load,
    long appliedRevision) {}
