package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.List;
import org.coltsfootvale.core.model.HostPort;

/**
 * The answer to a caller's query for the routers to use.
 *
 * @param routers where to connect; empty if this router has none to offer
 * @param timeToLive how long the answer may be used
 */
public record EntryAnswer(List<HostPort> routers, Duration timeToLive) {

  /** Copies the list. */
  public EntryAnswer {
    routers = List.copyOf(routers);
  }
}
