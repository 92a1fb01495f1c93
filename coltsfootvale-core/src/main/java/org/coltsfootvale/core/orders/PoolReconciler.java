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
 * Brings the engines of one pool to its target while this router holds the pool's lease: stores the
 * intent, reads each engine, sends an order if its state differs, and reads back. Thread-safe.
 */
final class PoolReconciler {

  private final PoolLease lease;
  private final IntentStore intents;
  private final OrderTransport transport;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private final Map<EngineId, EngineSchedule> engines = new HashMap<>();
  private @Nullable OrderIntent storedIntent;
  private boolean writeOutstanding;

  PoolReconciler(
      PoolLease lease,
      IntentStore intents,
      OrderTransport transport,
      LongSupplier monotonicNanos,
      OrderTimings timings) {
    this.lease = lease;
    this.intents = intents;
    this.transport = transport;
    this.monotonicNanos = monotonicNanos;
    this.timings = timings;
  }

  /** Renews the lease and sends the orders that are due. */
  void tick(FleetState state, PoolSpec target, List<EngineSpec> members, boolean candidate) {
    lease.tick(candidate);
    OptionalLong fencing = lease.fencing();
    if (fencing.isEmpty()) {
      return;
    }
    if (!ensureIntentStored(fencing.getAsLong(), state.revision(), target)) {
      return;
    }
    members.forEach(engine -> reconcile(engine, fencing.getAsLong(), target));
    removeNonMembers(members);
  }

  /** Releases the lease permanently. */
  void stop() {
    lease.stop();
  }

  private boolean ensureIntentStored(long fencing, long releaseRevision, PoolSpec target) {
    OrderIntent wanted;
    synchronized (this) {
      OrderIntent current = storedIntent;
      if (current != null && current.fencing() == fencing && !current.differsFrom(target)) {
        return true;
      }
      if (writeOutstanding) {
        return false;
      }
      writeOutstanding = true;
      wanted = OrderIntent.of(fencing, releaseRevision, target);
    }
    var unused =
        intents.write(wanted).whenComplete((accepted, failure) -> onIntentStored(wanted, accepted));
    return false;
  }

  private synchronized void onIntentStored(OrderIntent wanted, @Nullable Boolean accepted) {
    writeOutstanding = false;
    if (Boolean.TRUE.equals(accepted)) {
      storedIntent = wanted;
      engines.values().forEach(schedule -> schedule.dueNanos = monotonicNanos.getAsLong());
    }
  }

  private void reconcile(EngineSpec engine, long fencing, PoolSpec target) {
    EngineSchedule schedule;
    synchronized (this) {
      long now = monotonicNanos.getAsLong();
      schedule = engines.computeIfAbsent(engine.id(), id -> new EngineSchedule(now));
      if (schedule.callOutstanding || now < schedule.dueNanos) {
        return;
      }
      schedule.callOutstanding = true;
      schedule.dueNanos = now + timings.repairInterval().toNanos();
    }
    var unused =
        transport
            .read(engine.id())
            .thenCompose(state -> sendIfDifferent(engine, fencing, target, state))
            .whenComplete((done, failure) -> onCallEnded(schedule));
  }

  private CompletableFuture<?> sendIfDifferent(
      EngineSpec engine, long fencing, PoolSpec target, OrderState state) {
    boolean sameTarget = target.equals(state.target());
    boolean fencingMatches = !engine.checksFencing() || state.fencing() == fencing;
    if (sameTarget && fencingMatches) {
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
      lease.release();
      return;
    }
    if (result == OrderResult.APPLIED) {
      synchronized (this) {
        EngineSchedule schedule = engines.get(engine);
        if (schedule != null) {
          schedule.dueNanos = monotonicNanos.getAsLong();
        }
      }
    }
  }

  private synchronized void onCallEnded(EngineSchedule schedule) {
    schedule.callOutstanding = false;
  }

  private synchronized void removeNonMembers(List<EngineSpec> members) {
    List<EngineId> ids = members.stream().map(EngineSpec::id).toList();
    engines.keySet().removeIf(id -> !ids.contains(id));
  }

  /** The next due time of an engine and whether a call to it is outstanding. */
  private static final class EngineSchedule {

    private boolean callOutstanding;
    private long dueNanos;

    EngineSchedule(long dueNanos) {
      this.dueNanos = dueNanos;
    }
  }
}
