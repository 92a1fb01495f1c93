package org.coltsfootvale.core.once;

/** Decides for each key whether, where and how it runs. Thread-safe. */
public interface OnceRegistry {

  /**
   * Begins a request with a key.
   *
   * @param key the parsed key
   * @param fingerprint a hash over method, path and body, by which a reused key is told apart
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException KEY_REUSED, KEY_EXPIRED, HOME_LOST
   *     (unknown) or OVERLOADED (not run) if the key memory is full
   */
  OnceDecision begin(IdempotencyKey key, long fingerprint);

  /** Returns how many keys are held. */
  int size();
}
