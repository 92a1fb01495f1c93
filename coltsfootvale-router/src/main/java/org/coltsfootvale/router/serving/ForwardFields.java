package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootvale.core.model.HostPort;

/**
 * The fields that the router adds to a request to a replica.
 *
 * @param timeLeft the time until the deadline of the request
 * @param replicaId the replica that the request is meant for; another one must not run it
 * @param organisation the organisation that the caller's key belongs to
 * @param urgency the rank among the requests of the replica, 0 is the most urgent
 * @param resumeAfter the last event that the caller has already received
 * @param cacheSource a replica from which the chosen one fetches prompt parts
 */
public record ForwardFields(
    Duration timeLeft,
    String replicaId,
    Optional<String> organisation,
    int urgency,
    OptionalLong resumeAfter,
    Optional<HostPort> cacheSource) {}
