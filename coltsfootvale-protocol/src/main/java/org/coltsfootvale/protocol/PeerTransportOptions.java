package org.coltsfootvale.protocol;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The limits and timeouts of the inner protocol.
 *
 * @param frameBytesMax the largest frame after the handshake
 * @param sendQueueBytesMax the bytes that wait on a connection before one-way messages are dropped
 * @param streamsMax the forwarded requests that one peer may have open
 * @param connectTimeout the time to open and authenticate a connection
 * @param heartbeat the time without a message after which a heartbeat is sent
 * @param silence the time without any message after which a connection is closed
 * @param idle the time without a use after which a connection is closed
 * @param backoffMin the pause after the first failed attempt to connect; doubles
 * @param backoffMax the longest pause between attempts to connect
 */
public record PeerTransportOptions(
    int frameBytesMax,
    int sendQueueBytesMax,
    int streamsMax,
    Duration connectTimeout,
    Duration heartbeat,
    Duration silence,
    Duration idle,
    Duration backoffMin,
    Duration backoffMax) {

  /** The values for a fleet on one continent. */
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

  /** Checks the limits. */
  public PeerTransportOptions {
    Checks.argument(frameBytesMax >= 1024, "frameBytesMax must be at least 1024");
    Checks.argument(
        silence.compareTo(heartbeat) > 0, "silence must be longer than heartbeat: %s", silence);
  }
}
