package org.coltsfootvale.core.retry;

/** One circuit breaker for each backend server, by its id. Thread-safe. */
public interface CircuitBreakers {

  /** Tells whether a request may be sent; in the half-open state admits a single probe. */
  boolean tryAcquire(String backend);

  /** Tells whether the circuit is closed, without taking a probe. */
  boolean isClosed(String backend);

  /** Records a success. */
  void onSuccess(String backend);

  /** Records a failure that speaks against the backend server. */
  void onFailure(String backend);
}
