package org.coltsfootvale.core.once;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.RouterIncarnation;

/** Claims keys that name no home, so that a single router may run each. */
interface ClaimStore {

  /**
   * Claims a key, or finds who has claimed it.
   *
   * @param attempt this router's number for the attempt; repeated with the same number, the call
   *     finds the claim that an earlier call has written without hearing of it
   * @return fails with PLATFORM_UNAVAILABLE, not run, if it cannot be claimed; the cause tells
   *     whether the claim may have been written nevertheless
   */
  CompletableFuture<Claim> claim(IdempotencyKey key, long fingerprint, long attempt);

  /**
   * A claim as the platform holds it.
   *
   * @param owner the router that may run the key
   * @param attempt the owner's number for the attempt
   * @param fingerprint the request that the key stands for
   * @param endsAtNanos the owner's monotonic time until which the claim surely lasts
   */
  record Claim(RouterIncarnation owner, long attempt, long fingerprint, long endsAtNanos) {}
}
