package org.coltsfootvale.protocol;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The limits and timeouts of the inner protocol.
 *
 * @param frameBytesMax the maximum frame size after the handshake
 * @param sendQueueBytesMax the bytes above which one-way messages are dropped, of those queued for
 *     a connection and of those that it could not send yet
 * @param streamsMax the maximum number of open forwarded requests of one connection
 * @param connectTimeout the time to open and authenticate a connection
 * @param heartbeatInterval the time without a received message after which a heartbeat is sent
 * @param peerTimeout the time without a received message after which a connection is closed
 * @param idleTimeout the time without use after which a connection is closed
 * @param backoffMin the delay after the first failed connection attempt; doubles with each further
 *     one
 * @param backoffMax the maximum delay between connection attempts
 */
public record PeerTransportOptions(
    int frameBytesMax,
    int sendQueueBytesMax,
    int streamsMax,
    Duration connectTimeout,
    Duration heartbeatInterval,
    Duration peerTimeout,
    Duration idleTimeout,
    Duration backoffMin,
    Duration backoffMax) {

  /** Default values for a fleet on one continent. */
  public static final PeerTransportOptions DEFAULT =
      new PeerTransportOptions(
          8 * 1024 * 1024,
          1024 * 1024,
          4_096,
          Duration.ofSeconds(1),
          Duration.ofSeconds(1),
          Duration.ofMillis(3_500),
          Duration.ofSeconds(60),
          Duration.ofMillis(100),
          Duration.ofSeconds(5));

  /** Validates the limits. */
  public PeerTransportOptions {
    Checks.argument(frameBytesMax >= 1024, "frameBytesMax must be at least 1024");
    Checks.argument(
        peerTimeout.compareTo(heartbeatInterval) > 0,
        "peerTimeout must be longer than heartbeatInterval: %s",
        peerTimeout);
  }
}
