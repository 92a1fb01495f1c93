package org.coltsfootvale.core.orders;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.coltsfootvale.core.support.Futures;
import org.jspecify.annotations.Nullable;

/**
 * The lease of one pool as held by this router. The creation revision of the key is the fencing
 * number. The end of the lease is computed from the time of the last renewal request on a monotonic
 * clock. At most one call is outstanding. Thread-safe.
 */
final class PoolLease {

  private final String key;
  private final byte[] owner;
  private final KeyValueStore store;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private boolean callOutstanding;
  private boolean stopped;
  private long leaseId = KeyValueStore.NO_LEASE;
  private long fencing;
  private long acquiredNanos;
  private long endsAtNanos;
  private long nextCallNanos;

  PoolLease(
      String key,
      RouterIncarnation self,
      KeyValueStore store,
      LongSupplier monotonicNanos,
      OrderTimings timings) {
    this.key = key;
    this.owner = self.toString().getBytes(StandardCharsets.UTF_8);
    this.store = store;
    this.monotonicNanos = monotonicNanos;
    this.timings = timings;
    this.nextCallNanos = monotonicNanos.getAsLong();
  }

  /** Acquires or renews the lease if it is due. */
  void tick(boolean candidate) {
    synchronized (this) {
      long now = monotonicNanos.getAsLong();
      if (fencing != 0 && now >= endsAtNanos) {
        clear();
      }
      boolean wanted = fencing != 0 || candidate;
      if (callOutstanding || stopped || !wanted || now < nextCallNanos) {
        return;
      }
      callOutstanding = true;
      nextCallNanos = now + timings.leaseTimeToLive().toNanos() / 4;
    }
    var unused = acquireOrRenew().whenComplete((done, failure) -> onCallEnded());
  }

  /** Returns the fencing number if orders may be sent now. */
  synchronized OptionalLong fencing() {
    long now = monotonicNanos.getAsLong();
    boolean earlierOrdersEnded = now - acquiredNanos >= timings.orderInFlight().toNanos();
    boolean enoughTimeLeft = endsAtNanos - now > timings.margin().toNanos();
    return fencing != 0 && earlierOrdersEnded && enoughTimeLeft
        ? OptionalLong.of(fencing)
        : OptionalLong.empty();
  }

  /** Releases the lease because a newer sender was detected. */
  void release() {
    long id;
    synchronized (this) {
      id = leaseId;
      clear();
    }
    var unused = revoke(id);
  }

  /** Releases the lease permanently. */
  void stop() {
    synchronized (this) {
      stopped = true;
    }
    release();
  }

  private CompletableFuture<Void> acquireOrRenew() {
    long heldLeaseId;
    synchronized (this) {
      heldLeaseId = fencing == 0 ? KeyValueStore.NO_LEASE : leaseId;
    }
    return heldLeaseId == KeyValueStore.NO_LEASE ? acquire() : renew(heldLeaseId);
  }

  private CompletableFuture<Void> renew(long id) {
    long requestedNanos = monotonicNanos.getAsLong();
    return store
        .keepLeaseAlive(id)
        .thenAccept(
            granted -> {
              synchronized (this) {
                if (granted.isZero()) {
                  clear();
                } else if (leaseId == id) {
                  endsAtNanos = requestedNanos + granted.toNanos();
                }
              }
            });
  }

  private CompletableFuture<Void> acquire() {
    return store
        .get(key)
        .thenCompose(
            found ->
                found.isPresent() ? CompletableFuture.completedFuture(null) : grantAndCreate());
  }

  private CompletableFuture<Void> grantAndCreate() {
    long requestedNanos = monotonicNanos.getAsLong();
    return store
        .grantLease(timings.leaseTimeToLive())
        .thenCompose(id -> create(id, requestedNanos));
  }

  private CompletableFuture<Void> create(long id, long requestedNanos) {
    return Futures.compose(
        store.createIfAbsent(key, value(id), id),
        (created, failure) -> onCreateResult(id, requestedNanos, created, failure));
  }

  private CompletableFuture<Void> onCreateResult(
      long id, long requestedNanos, @Nullable OptionalLong created, @Nullable Throwable failure) {
    if (created != null && created.isPresent()) {
      onAcquired(id, requestedNanos, created.getAsLong());
      return CompletableFuture.completedFuture(null);
    }
    boolean uncertain =
        failure != null
            && Failures.unwrap(failure) instanceof PlatformException platform
            && platform.mayHaveTakenEffect();
    if (!uncertain) {
      return revoke(id);
    }
    return store.get(key).thenCompose(found -> onReadBack(id, requestedNanos, found));
  }

  private CompletableFuture<Void> onReadBack(
      long id, long requestedNanos, Optional<KeyValue> found) {
    if (found.isPresent() && Arrays.equals(found.get().value(), value(id))) {
      onAcquired(id, requestedNanos, found.get().createRevision());
      return CompletableFuture.completedFuture(null);
    }
    return revoke(id);
  }

  private void onAcquired(long id, long requestedNanos, long revision) {
    boolean alreadyStopped;
    synchronized (this) {
      alreadyStopped = stopped;
      if (!alreadyStopped) {
        leaseId = id;
        fencing = revision;
        acquiredNanos = monotonicNanos.getAsLong();
        endsAtNanos = requestedNanos + timings.leaseTimeToLive().toNanos();
      }
    }
    if (alreadyStopped) {
      var unused = revoke(id);
    }
  }

  private CompletableFuture<Void> revoke(long id) {
    return id == KeyValueStore.NO_LEASE
        ? CompletableFuture.completedFuture(null)
        : store.revokeLease(id);
  }

  private byte[] value(long id) {
    byte[] suffix = (" " + id).getBytes(StandardCharsets.UTF_8);
    byte[] value = Arrays.copyOf(owner, owner.length + suffix.length);
    System.arraycopy(suffix, 0, value, owner.length, suffix.length);
    return value;
  }

  private synchronized void onCallEnded() {
    callOutstanding = false;
  }

  private void clear() {
    leaseId = KeyValueStore.NO_LEASE;
    fencing = 0;
  }
}
