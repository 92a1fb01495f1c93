package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Decides which replicas a router that has just started asks for the parts that they hold. Another
 * router that was up before tells where parts are; only when none does, as after a loss of all
 * routers, is each replica asked, by one router. Confined to one thread.
 */
public final class CacheCensus {

  /** How long the other routers have to tell what they know, from the start. */
  private static final Duration PEERS_TELL = Duration.ofMillis(250);

  /** How long callers are kept away at most until the replicas have answered. */
  private static final Duration ANSWERS_MAX = Duration.ofMillis(700);

  private final boolean firstStart;
  private final PromptLocations locations;
  private final LongSupplier nanoTime;
  private final long startNanos;
  private boolean decided;
  private int unanswered;

  /**
   * Creates a census.
   *
   * @param firstStart whether the whole deployment starts for the first time, with empty caches
   * @param locations where parts are known to be
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public CacheCensus(boolean firstStart, PromptLocations locations, LongSupplier nanoTime) {
    this.firstStart = firstStart;
    this.locations = locations;
    this.nanoTime = nanoTime;
    this.startNanos = nanoTime.getAsLong();
  }

  /**
   * Returns the replicas to ask now; each is returned at most once.
   *
   * @param routerId this router
   * @param routerIds all live routers, this one included
   * @param engines the replicas that have a cache
   */
  public List<Replica> due(String routerId, List<String> routerIds, List<Replica> engines) {
    if (decided || engines.isEmpty()) {
      return List.of();
    }
    if (firstStart || !locations.isEmpty()) {
      decided = true;
      return List.of();
    }
    if (nanoTime.getAsLong() - startNanos < PEERS_TELL.toNanos()) {
      return List.of();
    }
    decided = true;
    List<Replica> own = new ArrayList<>();
    for (Replica engine : engines) {
      if (routerId.equals(asker(engine, routerIds))) {
        own.add(engine);
      }
    }
    unanswered = own.size();
    return own;
  }

  /** Takes note that a replica has answered, or that it does not. */
  public void answered() {
    unanswered--;
  }

  /** Returns whether callers can be taken: all is known that will be known shortly. */
  public boolean finished() {
    boolean answered = decided && unanswered <= 0;
    return answered || nanoTime.getAsLong() - startNanos >= ANSWERS_MAX.toNanos();
  }

  private static String asker(Replica engine, List<String> routerIds) {
    long engineHash = RendezvousHashing.hash(engine.id());
    String best = "";
    double bestScore = Double.NEGATIVE_INFINITY;
    for (String routerId : routerIds) {
      double score = RendezvousHashing.score(engineHash, RendezvousHashing.hash(routerId), 1.0);
      if (score > bestScore) {
        best = routerId;
        bestScore = score;
      }
    }
    return best;
  }
}
