package org.coltsfootvale.core.store;

import org.coltsfootvale.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/** A failed call to the store. */
public final class StoreException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /** Why a call failed. */
  public enum Fault {
    /** The store did not answer, or the answer was lost; a write may have taken effect. */
    NO_ANSWER,
    /** The store refused the call; nothing was changed. */
    REFUSED,
    /** The store no longer has the requested history; a full read is needed. */
    HISTORY_GONE,
    /** The lease has ended; a new one must be granted. */
    LEASE_ENDED,
    /** The answer is from before the store was restored from a copy; the call may be retried. */
    OUTDATED,
    /** The answer cannot be parsed, for example because the versions of router and store differ. */
    MALFORMED
  }

  private final Fault fault;

  /**
   * Creates an exception.
   *
   * @param fault why the call failed
   * @param detail the call and its result
   * @param cause the failure of the transport, or null
   */
  public StoreException(Fault fault, String detail, @Nullable Throwable cause) {
    super(detail, fault == Fault.NO_ANSWER || fault == Fault.MALFORMED, cause);
    this.fault = fault;
  }

  /** Returns why the call failed. */
  public Fault fault() {
    return fault;
  }
}
