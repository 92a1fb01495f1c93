package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootvale.core.model.HostPort;

/**
 * What the router itself tells a replica about a request.
 *
 * @param timeLeft how long the answer is still of use
 * @param replicaId the replica that the request is meant for; another one must not run it
 * @param organisation the organisation that the caller's key belongs to
 * @param urgency the rank among the requests of the replica, 0 is the most urgent
 * @param resumeAfter the last event that the caller has already received
 * @param cacheSource a replica that the chosen one fetches parts of the prompt from
 */
public record ForwardFields(
    Duration timeLeft,
    String replicaId,
    Optional<String> organisation,
    int urgency,
    OptionalLong resumeAfter,
    Optional<HostPort> cacheSource) {}
