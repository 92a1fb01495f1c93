package org.coltsfootvale.core.once;

/** Decides for each key whether, where and how it runs. Thread-safe. */
public interface IdempotencyRegistry {

  /**
   * Begins a request with a key.
   *
   * @param key the parsed key
   * @param fingerprint a hash over method, path and body, by which a reused key is told apart
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException KEY_REUSED, KEY_EXPIRED, HOME_LOST
   *     (unknown) or OVERLOADED (not run) if the key memory is full
   */
  IdempotencyDecision begin(IdempotencyKey key, long fingerprint);

  /**
   * Records that this process is running; to be called once a second. After a gap of several
   * seconds keys without a home are not claimed for a while, for their requests may have waited
   * longer than other routers' claims lasted.
   */
  default void tick() {}

  /** Returns how many keys are held. */
  int size();
}
