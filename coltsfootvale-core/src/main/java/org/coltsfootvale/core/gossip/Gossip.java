package org.coltsfootvale.core.gossip;

import java.util.List;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;

/**
 * Push-pull gossip within a byte budget. Produces messages to send and takes received ones; does no
 * I/O. Thread-safe.
 */
public interface Gossip {

  /** Returns the messages that are due now; to be called several times a second. */
  List<AddressedMessage> dueMessages();

  /** Takes a received message and returns the replies. */
  List<AddressedMessage> onMessage(RouterId from, GossipMessage message);

  /**
   * Returns the messages to seeds, whose names are not known yet, that are due now; to be called
   * with {@link #dueMessages}.
   */
  default List<SeedMessage> dueSeedMessages() {
    return List.of();
  }

  /** Returns the counters since the start. */
  GossipCounters counters();

  /** A message and the router it goes to. */
  record AddressedMessage(RouterId to, GossipMessage message) {}

  /** A message and the peer address it goes to. */
  record SeedMessage(HostPort to, GossipMessage message) {}
}
