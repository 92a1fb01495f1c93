package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootvale.core.dispatch.LoadReport;

/**
 * What the head of a replica's answer tells besides its status.
 *
 * @param requestId the request that it answers, if it says so
 * @param authentic whether it bears the replica's signature and its body is the replica's own
 * @param notRun whether the replica states that it did not run the request and never will
 * @param load the replica's count of its requests
 * @param leaving whether the replica states that it leaves, and wants no further requests
 * @param pause how long the replica wants no further requests, if it says so
 * @param keepAlive how long the replica keeps an unused connection, if it says so
 */
public record AnswerMetadata(
    Optional<String> requestId,
    boolean authentic,
    boolean notRun,
    Optional<LoadReport> load,
    boolean leaving,
    Optional<Duration> pause,
    Optional<Duration> keepAlive) {}
