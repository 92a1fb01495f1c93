package org.coltsfootvale.core.once;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.RouterIncarnation;

/** Claims idempotency keys without a home, so that only one router executes each of them. */
interface ClaimStore {

  /**
   * Claims a key, or returns the existing claim.
   *
   * @param attempt the number of this router's claim attempt; a retry under the same number finds a
   *     claim whose earlier write received no reply
   * @return fails with PLATFORM_UNAVAILABLE, not run, if the key cannot be claimed; the cause
   *     indicates whether the claim may have been written nevertheless
   */
  CompletableFuture<Claim> claim(IdempotencyKey key, long fingerprint, long attempt);

  /**
   * A claim as stored in the platform's key-value service.
   *
   * @param owner the router that may execute the key
   * @param attempt the number of the owner's claim attempt
   * @param fingerprint the hash of the request that the key was first used for
   * @param endsAtNanos the owner's monotonic time until which the claim is guaranteed to last
   */
  record Claim(RouterIncarnation owner, long attempt, long fingerprint, long endsAtNanos) {}
}
