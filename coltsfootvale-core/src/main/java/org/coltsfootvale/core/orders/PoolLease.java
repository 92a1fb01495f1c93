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
 * A router's hold on the lease of one pool. The key's creation revision is the fencing number; the
 * lease's end is reckoned from the time at which the last renewal was asked for, by a clock that is
 * never set. At most one call is outstanding. Thread-safe.
 */
final class PoolLease {

  private final String key;
  private final byte[] owner;
  private final KeyValueStore store;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private boolean calling;
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

  /** Takes or renews the lease if it is time to. */
  void tick(boolean candidate) {
    synchronized (this) {
      long now = monotonicNanos.getAsLong();
      if (fencing != 0 && now >= endsAtNanos) {
        forget();
      }
      boolean wanted = fencing != 0 || candidate;
      if (calling || stopped || !wanted || now < nextCallNanos) {
        return;
      }
      calling = true;
      nextCallNanos = now + timings.leaseTimeToLive().toNanos() / 4;
    }
    var unused = call().whenComplete((done, failure) -> endCall());
  }

  /** Returns the fencing number if orders may be sent now. */
  synchronized OptionalLong fencing() {
    long now = monotonicNanos.getAsLong();
    boolean waitedOut = now - acquiredNanos >= timings.orderInFlight().toNanos();
    boolean lasts = endsAtNanos - now > timings.margin().toNanos();
    return fencing != 0 && waitedOut && lasts ? OptionalLong.of(fencing) : OptionalLong.empty();
  }

  /** Gives the lease up because a newer sender has been seen. */
  void lose() {
    long id;
    synchronized (this) {
      id = leaseId;
      forget();
    }
    var unused = revoke(id);
  }

  /** Gives the lease up for good. */
  void stop() {
    synchronized (this) {
      stopped = true;
    }
    lose();
  }

  private CompletableFuture<Void> call() {
    long held;
    synchronized (this) {
      held = fencing == 0 ? KeyValueStore.NO_LEASE : leaseId;
    }
    return held == KeyValueStore.NO_LEASE ? acquire() : renew(held);
  }

  private CompletableFuture<Void> renew(long id) {
    long askedNanos = monotonicNanos.getAsLong();
    return store
        .keepLeaseAlive(id)
        .thenAccept(
            granted -> {
              synchronized (this) {
                if (granted.isZero()) {
                  forget();
                } else if (leaseId == id) {
                  endsAtNanos = askedNanos + granted.toNanos();
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
    long askedNanos = monotonicNanos.getAsLong();
    return store.grantLease(timings.leaseTimeToLive()).thenCompose(id -> create(id, askedNanos));
  }

  private CompletableFuture<Void> create(long id, long askedNanos) {
    return Futures.compose(
        store.createIfAbsent(key, value(id), id),
        (created, failure) -> settle(id, askedNanos, created, failure));
  }

  private CompletableFuture<Void> settle(
      long id, long askedNanos, @Nullable OptionalLong created, @Nullable Throwable failure) {
    if (created != null && created.isPresent()) {
      hold(id, askedNanos, created.getAsLong());
      return CompletableFuture.completedFuture(null);
    }
    boolean unclear =
        failure != null
            && Failures.unwrap(failure) instanceof PlatformException platform
            && platform.mayHaveTakenEffect();
    if (!unclear) {
      return revoke(id);
    }
    return store.get(key).thenCompose(found -> settleByReading(id, askedNanos, found));
  }

  private CompletableFuture<Void> settleByReading(
      long id, long askedNanos, Optional<KeyValue> found) {
    if (found.isPresent() && Arrays.equals(found.get().value(), value(id))) {
      hold(id, askedNanos, found.get().createRevision());
      return CompletableFuture.completedFuture(null);
    }
    return revoke(id);
  }

  private void hold(long id, long askedNanos, long revision) {
    boolean late;
    synchronized (this) {
      late = stopped;
      if (!late) {
        leaseId = id;
        fencing = revision;
        acquiredNanos = monotonicNanos.getAsLong();
        endsAtNanos = askedNanos + timings.leaseTimeToLive().toNanos();
      }
    }
    if (late) {
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

  private synchronized void endCall() {
    calling = false;
  }

  private void forget() {
    leaseId = KeyValueStore.NO_LEASE;
    fencing = 0;
  }
}
