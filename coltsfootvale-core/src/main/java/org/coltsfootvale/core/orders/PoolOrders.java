package org.coltsfootvale.core.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.orders.OrderTransport.OrderResult;
import org.coltsfootvale.core.orders.OrderTransport.OrderState;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PoolSpec;
import org.jspecify.annotations.Nullable;

/**
 * Brings the engines of one pool to its target while this router holds the pool's lease: writes the
 * intent, reads each engine, orders what differs, and reads back. Thread-safe.
 */
final class PoolOrders {

  private final PoolLease lease;
  private final IntentLog intents;
  private final OrderTransport transport;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private final Map<EngineId, EngineProgress> engines = new HashMap<>();
  private @Nullable OrderIntent written;
  private boolean writing;

  PoolOrders(
      PoolLease lease,
      IntentLog intents,
      OrderTransport transport,
      LongSupplier monotonicNanos,
      OrderTimings timings) {
    this.lease = lease;
    this.intents = intents;
    this.transport = transport;
    this.monotonicNanos = monotonicNanos;
    this.timings = timings;
  }

  /** Renews the lease and sends what is due. */
  void tick(FleetState state, PoolSpec target, List<EngineSpec> members, boolean candidate) {
    lease.tick(candidate);
    OptionalLong fencing = lease.fencing();
    if (fencing.isEmpty()) {
      return;
    }
    if (!intentWritten(fencing.getAsLong(), state.revision(), target)) {
      return;
    }
    members.forEach(engine -> advance(engine, fencing.getAsLong(), target));
    forgetOthers(members);
  }

  /** Gives the lease up. */
  void stop() {
    lease.stop();
  }

  private boolean intentWritten(long fencing, long releaseRevision, PoolSpec target) {
    OrderIntent wanted;
    synchronized (this) {
      OrderIntent present = written;
      if (present != null && present.fencing() == fencing && !present.differsFrom(target)) {
        return true;
      }
      if (writing) {
        return false;
      }
      writing = true;
      wanted = OrderIntent.of(fencing, releaseRevision, target);
    }
    var unused = intents.write(wanted).whenComplete((ours, failure) -> onIntent(wanted, ours));
    return false;
  }

  private synchronized void onIntent(OrderIntent wanted, @Nullable Boolean ours) {
    writing = false;
    if (Boolean.TRUE.equals(ours)) {
      written = wanted;
      engines.values().forEach(progress -> progress.dueNanos = monotonicNanos.getAsLong());
    }
  }

  private void advance(EngineSpec engine, long fencing, PoolSpec target) {
    EngineProgress progress;
    synchronized (this) {
      long now = monotonicNanos.getAsLong();
      progress = engines.computeIfAbsent(engine.id(), id -> new EngineProgress(now));
      if (progress.busy || now < progress.dueNanos) {
        return;
      }
      progress.busy = true;
      progress.dueNanos = now + timings.repairInterval().toNanos();
    }
    var unused =
        transport
            .read(engine.id())
            .thenCompose(state -> order(engine, fencing, target, state))
            .whenComplete((done, failure) -> release(progress));
  }

  private CompletableFuture<?> order(
      EngineSpec engine, long fencing, PoolSpec target, OrderState state) {
    boolean sameTarget = target.equals(state.target());
    boolean fenced = !engine.checksFencing() || state.fencing() == fencing;
    if (sameTarget && fenced) {
      return CompletableFuture.completedFuture(null);
    }
    OptionalLong current = lease.fencing();
    if (current.isEmpty() || current.getAsLong() != fencing) {
      return CompletableFuture.completedFuture(null);
    }
    return transport
        .send(engine.id(), fencing, target)
        .thenAccept(result -> onResult(engine.id(), result));
  }

  private void onResult(EngineId engine, OrderResult result) {
    if (result == OrderResult.STALE_FENCING) {
      lease.lose();
      return;
    }
    if (result == OrderResult.APPLIED) {
      synchronized (this) {
        EngineProgress progress = engines.get(engine);
        if (progress != null) {
          progress.dueNanos = monotonicNanos.getAsLong();
        }
      }
    }
  }

  private synchronized void release(EngineProgress progress) {
    progress.busy = false;
  }

  private synchronized void forgetOthers(List<EngineSpec> members) {
    List<EngineId> ids = members.stream().map(EngineSpec::id).toList();
    engines.keySet().removeIf(id -> !ids.contains(id));
  }

  /** When an engine is due, and whether a call to it is outstanding. */
  private static final class EngineProgress {

    private boolean busy;
    private long dueNanos;

    EngineProgress(long dueNanos) {
      this.dueNanos = dueNanos;
    }
  }
}
