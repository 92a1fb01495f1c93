package org.coltsfootvale.testkit.platform;

/** Thrown if a lease does not exist or has expired. */
final class LeaseNotFoundException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  LeaseNotFoundException(long id) {
    super("etcdserver: requested lease not found: " + id);
  }
}
