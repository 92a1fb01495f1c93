package org.coltsfootvale.core.gossip;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The limits and intervals of gossip.
 *
 * @param bytesPerSecond the budget for sent and received bytes together
 * @param burstBytes the largest unused budget that accumulates
 * @param loadReserveBytes the part of the accumulated budget that load entries may not use
 * @param entriesPerMessageMax the largest number of entries in a message
 * @param interval the time between two messages with entries on a link
 * @param keepAlive the longest time without a message on a link
 * @param peerTimeout the time without a received message after which a peer is reported as
 *     unresponsive
 * @param probeInterval the time between two probes of a seed or a dead router
 * @param syncInterval the shortest time between two full synchronisations of a link
 */
public record GossipOptions(
    int bytesPerSecond,
    int burstBytes,
    int loadReserveBytes,
    int entriesPerMessageMax,
    Duration interval,
    Duration keepAlive,
    Duration peerTimeout,
    Duration probeInterval,
    Duration syncInterval) {

  /** The values for a fleet of up to a few hundred routers. */
  public static final GossipOptions DEFAULT =
      new GossipOptions(
          8_000,
          32_000,
          8_000,
          200,
          Duration.ofMillis(250),
          Duration.ofSeconds(1),
          Duration.ofMillis(2_500),
          Duration.ofSeconds(5),
          Duration.ofSeconds(15));

  /** Checks the limits. */
  public GossipOptions {
    Checks.argument(bytesPerSecond > 0, "bytesPerSecond must be positive: %d", bytesPerSecond);
    Checks.argument(
        burstBytes >= loadReserveBytes, "burstBytes must not be less than loadReserveBytes");
    Checks.argument(
        entriesPerMessageMax > 0,
        "entriesPerMessageMax must be positive: %d",
        entriesPerMessageMax);
  }
}
