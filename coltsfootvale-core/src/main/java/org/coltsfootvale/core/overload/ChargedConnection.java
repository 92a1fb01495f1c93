package org.coltsfootvale.core.overload;

/** A connection of a caller as the memory budget sees it. */
public interface ChargedConnection {

  /** Brings the charge of the response bytes that are not sent yet up to date. */
  void updateUnsent();

  /** Answers the incomplete request with 503, and frees what it holds. */
  void refuseRequest();

  /** Closes the connection. */
  void close();
}
