package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootvale.core.dispatch.LoadReport;

/**
 * The metadata in the head of a replica's answer, besides its status.
 *
 * @param requestId the request that it answers, if stated
 * @param authentic whether it carries the replica's signature and its body is the replica's own
 * @param notRun whether the replica states that it did not run the request and never will
 * @param load the replica's count of its requests
 * @param leaving whether the replica announces its departure, and accepts no further requests
 * @param pause how long the replica accepts no further requests, if stated
 * @param keepAlive how long the replica keeps an idle connection, if stated
 */
public record AnswerMetadata(
    Optional<String> requestId,
    boolean authentic,
    boolean notRun,
    Optional<LoadReport> load,
    boolean leaving,
    Optional<Duration> pause,
    Optional<Duration> keepAlive) {}
