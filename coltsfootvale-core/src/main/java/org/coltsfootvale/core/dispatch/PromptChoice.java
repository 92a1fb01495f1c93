package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Sends the requests that share a part of their prompt to the same replica, as long as its load
 * allows. All routers rank the replicas for a part alike, by rendezvous hashing.
 */
final class PromptChoice implements ReplicaChoice {

  private static final double NANOS_PER_MILLI = 1e6;

  private final DispatchOptions options;
  private final LongSupplier nanoTime;

  PromptChoice(DispatchOptions options, LongSupplier nanoTime) {
    this.options = options;
    this.nanoTime = nanoTime;
  }

  @Override
  public @Nullable ReplicaState choose(Work work, Collection<ReplicaState> replicas) {
    ReplicaState sound = choose(work, replicas, this::sound);
    return sound != null ? sound : choose(work, replicas, (replica, now) -> true);
  }

  private @Nullable ReplicaState choose(
      Work work, Collection<ReplicaState> replicas, Criterion criterion) {
    long now = nanoTime.getAsLong();
    double bound = bound(replicas, now);
    long keyHash = RendezvousHashing.hash(work.description().sharedPart());
    ReplicaState best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    ReplicaState leastLoaded = null;
    double leastLoad = Double.POSITIVE_INFINITY;
    for (ReplicaState replica : replicas) {
      double load = load(replica, now);
      if (!open(work, replica)
          || load >= replica.replica().slots()
          || !criterion.test(replica, now)) {
        continue;
      }
      if (load < leastLoad) {
        leastLoaded = replica;
        leastLoad = load;
      }
      double score = RendezvousHashing.score(keyHash, replica.nameHash(), 1.0);
      if (load + 1 <= bound && !busyReading(replica) && score > bestScore) {
        best = replica;
        bestScore = score;
      }
    }
    return best != null ? best : leastLoaded;
  }

  private double bound(Collection<ReplicaState> replicas, long now) {
    double total = 0;
    for (ReplicaState replica : replicas) {
      total += load(replica, now);
    }
    return options.loadBound() * total / Math.max(1, replicas.size()) + options.loadBoundExtra();
  }

  private double load(ReplicaState replica, long now) {
    return replica.load(now, options.reportAgeMax().toNanos());
  }

  private static boolean open(Work work, ReplicaState replica) {
    return !work.avoids(replica) && !replica.health().suspended();
  }

  private boolean sound(ReplicaState replica, long now) {
    return replica.health().failureShare() <= options.failureShareMax()
        && replica.silentSince(now) <= options.silenceMax().toNanos();
  }

  private boolean busyReading(ReplicaState replica) {
    double delayNanos =
        replica.unstartedTokens() / options.promptTokensPerMilli() * NANOS_PER_MILLI;
    return delayNanos > options.startDelayMax().toNanos();
  }

  /** Tells whether a replica is considered. */
  @FunctionalInterface
  private interface Criterion {

    boolean test(ReplicaState replica, long nowNanos);
  }
}
