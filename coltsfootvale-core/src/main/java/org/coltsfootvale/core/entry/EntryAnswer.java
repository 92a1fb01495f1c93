package org.coltsfootvale.core.entry;

import java.time.Duration;
import java.util.List;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * The routers that a caller may use.
 *
 * @param addresses the routers' addresses, the preferred one first; at least one
 * @param first the router behind the first address
 * @param lifetime how long the caller may keep the answer
 */
public record EntryAnswer(List<HostPort> addresses, RouterIncarnation first, Duration lifetime) {

  /** Copies the list. */
  public EntryAnswer {
    addresses = List.copyOf(addresses);
  }
}
