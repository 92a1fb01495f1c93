package org.coltsfootvale.core.retry;

/** One circuit breaker for each backend server, by its id. Thread-safe. */
public interface CircuitBreakers {

  /** Returns whether a request may be sent; admits a single probe in the half-open state. */
  boolean tryAcquire(String backend);

  /** Returns whether the circuit is closed, without admitting a probe. */
  boolean isClosed(String backend);

  /** Records a success. */
  void onSuccess(String backend);

  /** Records a failure attributed to the backend server. */
  void onFailure(String backend);
}
