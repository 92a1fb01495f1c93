package org.coltsfootvale.core.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.coltsfootvale.core.support.Digests;
import org.coltsfootvale.core.support.Futures;
import org.jspecify.annotations.Nullable;

/**
 * Stores claims in the platform's key-value service. A claim is a key that is created if absent and
 * bound to a lease that is never renewed. All claims of a time slot share one lease, so that a
 * claim costs a single write.
 */
final class PlatformClaimStore implements ClaimStore {

  /** The key prefix of claims. */
  static final String CLAIMS_PREFIX = "coltsfootvale/claims/";

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int LEASE_SLOTS_PER_LIFETIME = 8;
  private static final int CREATE_ATTEMPTS_MAX = 3;

  private final RouterIncarnation self;
  private final KeyValueStore store;
  private final LongSupplier monotonicNanos;
  private final Duration claimLifetime;
  private final ObjectMapper mapper = JsonMapper.builder().build();
  private final Object lock = new Object();
  private @Nullable CompletableFuture<Lease> currentLease;
  private long leaseRequestedNanos;

  PlatformClaimStore(
      RouterIncarnation self,
      KeyValueStore store,
      LongSupplier monotonicNanos,
      Duration claimLifetime) {
    this.self = self;
    this.store = store;
    this.monotonicNanos = monotonicNanos;
    this.claimLifetime = claimLifetime;
  }

  @Override
  public CompletableFuture<Claim> claim(IdempotencyKey key, long fingerprint, long attempt) {
    String path = path(key);
    return lease()
        .thenCompose(
            lease ->
                create(
                    path,
                    lease,
                    new Claim(self, attempt, fingerprint, lease.endsAtNanos()),
                    CREATE_ATTEMPTS_MAX));
  }

  private CompletableFuture<Claim> create(
      String path, Lease lease, Claim proposed, int attemptsLeft) {
    return Futures.compose(
        store.createIfAbsent(path, serialise(proposed), lease.id()),
        (created, failure) ->
            onCreateResult(path, lease, proposed, attemptsLeft, created, failure));
  }

  private CompletableFuture<Claim> onCreateResult(
      String path,
      Lease lease,
      Claim proposed,
      int attemptsLeft,
      @Nullable OptionalLong created,
      @Nullable Throwable failure) {
    if (created != null && created.isPresent()) {
      return CompletableFuture.completedFuture(proposed);
    }
    if (failure != null && !mayHaveTakenEffect(failure)) {
      discardLease();
      return CompletableFuture.failedFuture(unavailable(failure, false));
    }
    return store
        .get(path)
        .exceptionallyCompose(e -> CompletableFuture.failedFuture(unavailable(e, true)))
        .thenCompose(found -> onReadBack(path, lease, proposed, attemptsLeft, found));
  }

  private CompletableFuture<Claim> onReadBack(
      String path, Lease lease, Claim proposed, int attemptsLeft, Optional<KeyValue> found) {
    if (found.isPresent()) {
      return CompletableFuture.completedFuture(deserialise(found.get()));
    }
    if (attemptsLeft <= 1) {
      return CompletableFuture.failedFuture(
          unavailable(
              new PlatformException("the claim's write received no reply", true, null), true));
    }
    return create(path, lease, proposed, attemptsLeft - 1);
  }

  private CompletableFuture<Lease> lease() {
    synchronized (lock) {
      long now = monotonicNanos.getAsLong();
      long slotNanos = claimLifetime.toNanos() / LEASE_SLOTS_PER_LIFETIME;
      CompletableFuture<Lease> lease = currentLease;
      if (lease != null
          && !lease.isCompletedExceptionally()
          && now - leaseRequestedNanos < slotNanos) {
        return lease;
      }
      Duration timeToLive = claimLifetime.plusNanos(slotNanos);
      CompletableFuture<Lease> granted =
          store
              .grantLease(timeToLive)
              .thenApply(id -> new Lease(id, now + timeToLive.toNanos()))
              .exceptionallyCompose(e -> CompletableFuture.failedFuture(unavailable(e, false)));
      leaseRequestedNanos = now;
      currentLease = granted;
      return granted;
    }
  }

  private void discardLease() {
    synchronized (lock) {
      currentLease = null;
    }
  }

  private static String path(IdempotencyKey key) {
    String hash = HexFormat.of().formatHex(Digests.sha256(key.text()));
    return CLAIMS_PREFIX + key.organisation() + "/" + hash;
  }

  private byte[] serialise(Claim claim) {
    RouterIncarnation owner = claim.owner();
    try {
      return mapper.writeValueAsBytes(
          new StoredClaim(
              owner.id().value(),
              owner.number(),
              claim.attempt(),
              claim.fingerprint(),
              claim.endsAtNanos()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialise a claim", e);
    }
  }

  private Claim deserialise(KeyValue entry) {
    try {
      StoredClaim stored = mapper.readValue(entry.value(), StoredClaim.class);
      return new Claim(
          new RouterIncarnation(new RouterId(stored.router()), stored.incarnation()),
          stored.attempt(),
          stored.fingerprint(),
          stored.endsAtNanos());
    } catch (IOException e) {
      throw new ColtsfootvaleException(
          ErrorKind.INTERNAL,
          Outcome.UNKNOWN,
          "The claim " + entry.key() + " cannot be read.",
          null,
          e);
    }
  }

  private static boolean mayHaveTakenEffect(Throwable failure) {
    return Failures.unwrap(failure) instanceof PlatformException platform
        && platform.mayHaveTakenEffect();
  }

  private static PlatformException unavailable(Throwable failure, boolean mayHaveTakenEffect) {
    return new PlatformException(
        "The key could not be claimed, so the request was not sent; ask again with the same key in "
            + RETRY_AFTER.toSeconds()
            + " s, or use a key with a prefix, which needs no claim.",
        mayHaveTakenEffect,
        Failures.unwrap(failure));
  }

  /** A lease shared by the claims of one time slot. */
  private record Lease(long id, long endsAtNanos) {}

  /** The stored form of a claim. */
  private record StoredClaim(
      String router, long incarnation, long attempt, long fingerprint, long endsAtNanos) {}
}
