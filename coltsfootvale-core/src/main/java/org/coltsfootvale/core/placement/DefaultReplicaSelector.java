package org.coltsfootvale.core.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.ServiceId;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ServiceSpec;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Chooses the less loaded of two random replicas, among those that are not leaving and whose
 * circuit admits the request. The load is the number of outstanding requests of this router.
 */
public final class DefaultReplicaSelector implements ReplicaSelector {

  private static final Duration RETRY_NO_BACKEND = Duration.ofSeconds(2);

  private final Supplier<FleetState> state;
  private final Predicate<String> leaving;
  private final CircuitBreakers circuits;
  private final long seed;
  private final AtomicLong draws = new AtomicLong();
  private final Map<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();

  /**
   * Creates a selector.
   *
   * @param state the release state
   * @param leaving whether the replica with the given id is leaving
   * @param circuits the circuit breakers by replica id
   * @param seed the seed of the random choices
   */
  public DefaultReplicaSelector(
      Supplier<FleetState> state, Predicate<String> leaving, CircuitBreakers circuits, long seed) {
    this.state = state;
    this.leaving = leaving;
    this.circuits = circuits;
    this.seed = seed;
  }

  @Override
  public Selection select(ServiceId service, boolean repeatable, Set<String> excluded) {
    ServiceSpec spec = state.get().services().get(service);
    if (spec == null) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.UNKNOWN_SERVICE, "no release note has added service " + service);
    }
    List<ServiceSpec.Replica> candidates = new ArrayList<>();
    for (ServiceSpec.Replica replica : spec.replicas()) {
      boolean eligible = !excluded.contains(replica.id()) && !leaving.test(replica.id());
      if (eligible && (repeatable || circuits.isClosed(replica.id()))) {
        candidates.add(replica);
      }
    }
    while (!candidates.isEmpty()) {
      ServiceSpec.Replica replica = lessLoadedOfTwo(candidates);
      if (circuits.tryAcquire(replica.id())) {
        return new CountedSelection(replica, count(replica));
      }
      candidates.remove(replica);
    }
    throw ColtsfootvaleException.notRun(
        ErrorKind.NO_BACKEND,
        "no replica of service " + service + " can take the request",
        RETRY_NO_BACKEND);
  }

  private ServiceSpec.Replica lessLoadedOfTwo(List<ServiceSpec.Replica> candidates) {
    long draw = RendezvousHashing.combine(seed, draws.getAndIncrement());
    int first = (int) Math.floorMod(draw, (long) candidates.size());
    if (candidates.size() == 1) {
      return candidates.get(first);
    }
    long other = Math.floorMod(draw >>> 32, (long) candidates.size() - 1);
    int second = (int) Math.floorMod(first + 1 + other, (long) candidates.size());
    boolean firstIsLess = count(candidates.get(first)).get() <= count(candidates.get(second)).get();
    return candidates.get(firstIsLess ? first : second);
  }

  private AtomicInteger count(ServiceSpec.Replica replica) {
    return outstanding.computeIfAbsent(replica.id(), id -> new AtomicInteger());
  }

  private static final class CountedSelection implements Selection {

    private final ServiceSpec.Replica replica;
    private final AtomicInteger count;
    private final AtomicBoolean released = new AtomicBoolean();

    CountedSelection(ServiceSpec.Replica replica, AtomicInteger count) {
      this.replica = replica;
      this.count = count;
      count.incrementAndGet();
    }

    @Override
    public ServiceSpec.Replica replica() {
      return replica;
    }

    @Override
    public void release() {
      if (released.compareAndSet(false, true)) {
        count.decrementAndGet();
      }
    }
  }
}
