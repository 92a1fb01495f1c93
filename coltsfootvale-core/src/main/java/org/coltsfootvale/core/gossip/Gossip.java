package org.coltsfootvale.core.gossip;

import java.util.List;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;

/**
 * Push-pull gossip within a byte budget. Produces messages to send and processes received ones;
 * performs no I/O. Thread-safe.
 */
public interface Gossip {

  /** Returns the messages that are due; must be called several times a second. */
  List<AddressedMessage> dueMessages();

  /** Processes a received message and returns the messages to send. */
  List<AddressedMessage> onMessage(RouterId from, GossipMessage message);

  /**
   * Returns the messages that are due to seeds, which are known by address only; must be called
   * together with {@link #dueMessages}.
   */
  default List<SeedMessage> dueSeedMessages() {
    return List.of();
  }

  /** Returns the counters since the start. */
  GossipCounters counters();

  /** A message and the router that it is sent to. */
  record AddressedMessage(RouterId to, GossipMessage message) {}

  /** A message and the peer address that it is sent to. */
  record SeedMessage(HostPort to, GossipMessage message) {}
}
