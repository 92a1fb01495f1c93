package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * The refusal of a request before it was sent to a replica.
 *
 * @param reason the reason, for logs and metrics
 * @param retryAfter the recommended delay before the caller retries
 */
public record Refusal(Reason reason, Duration retryAfter) {

  /** The reason for a refusal. */
  public enum Reason {
    /** The service has no replica in use. */
    NO_REPLICA,
    /** All replicas have requested pauses longer than the request may wait. */
    REPLICAS_PAUSED,
    /** No replica accepted the request within its waiting time. */
    NO_CAPACITY,
    /** This router has not read the desired state yet. */
    NOT_CONFIGURED,
    /** This router stops before the deadline of the request. */
    STOPPING,
    /** The prompt has a part that crashes replicas. */
    PROMPT_QUARANTINED,
    /** Replicas have rejected the request as often as it may be sent. */
    REJECTED,
    /** All replicas of the service are in evacuated data centres. */
    EVACUATED,
    /** An error of this router kept the request from being sent to a replica. */
    NOT_PREPARED
  }
}
