package org.coltsfootvale.router.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.router.platform.WeightStoreClient;

/**
 * Reads placement weights from the weight store, one pool per interval in turn, so that the read
 * rate does not grow with the number of pools.
 */
public final class WeightPoller {

  private static final Duration INTERVAL = Duration.ofSeconds(15);

  private final WeightStoreClient client;
  private final Membership membership;
  private final Supplier<FleetState> state;
  private final InstantSource clock;
  private final LongSupplier jitterMillis;
  private final Map<EngineId, Double> weights = new HashMap<>();
  private int nextPoolIndex;
  private Instant dueAt = Instant.EPOCH;

  /** Creates a poller that is driven by {@link #tick}. */
  public WeightPoller(
      WeightStoreClient client,
      Membership membership,
      Supplier<FleetState> state,
      InstantSource clock,
      LongSupplier jitterMillis) {
    this.client = client;
    this.membership = membership;
    this.state = state;
    this.clock = clock;
    this.jitterMillis = jitterMillis;
  }

  /** Reads the next pool if a read is due; called by one thread at a time. */
  public synchronized void tick() {
    Instant now = clock.instant();
    List<PoolId> pools = state.get().pools().keySet().stream().sorted().toList();
    if (now.isBefore(dueAt) || pools.isEmpty()) {
      return;
    }
    dueAt = now.plus(INTERVAL).plusMillis(jitterMillis.getAsLong());
    PoolId pool = pools.get(nextPoolIndex++ % pools.size());
    var unused = client.read(pool).thenAccept(this::apply);
  }

  private synchronized void apply(Map<EngineId, Double> poolWeights) {
    weights.putAll(poolWeights);
    weights.keySet().retainAll(state.get().engines().keySet());
    membership.onWeights(Map.copyOf(weights));
  }
}
