package org.coltsfootvale.core.model;

import org.jspecify.annotations.Nullable;

/**
 * A router's view of a router.
 *
 * @param router the router and its incarnation
 * @param liveness its state
 * @param dataCentre its data centre
 * @param callerAddress host and port that callers connect to
 * @param peerAddress host and port of the protocol between routers
 * @param load the used part of its capacity, in 1/255ths, or null if unknown
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
