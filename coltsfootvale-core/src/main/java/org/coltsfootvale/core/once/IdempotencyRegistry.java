package org.coltsfootvale.core.once;

/** Decides for each idempotency key whether, where and how its request is executed. Thread-safe. */
public interface IdempotencyRegistry {

  /**
   * Begins a request with an idempotency key.
   *
   * @param key the parsed key
   * @param fingerprint a hash over method, path and body, which detects that a key is reused for
   *     another request
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException KEY_REUSED, KEY_EXPIRED, HOME_LOST
   *     (unknown outcome), or OVERLOADED (not run) if the maximum number of keys is held
   */
  IdempotencyDecision begin(IdempotencyKey key, long fingerprint);

  /**
   * Records that this process is running; must be called once a second. After a gap of several
   * seconds, keys without a home are temporarily not claimed, because their requests may have
   * waited longer than the claims of other routers lasted.
   */
  default void tick() {}

  /** Returns the number of keys held. */
  int size();
}
