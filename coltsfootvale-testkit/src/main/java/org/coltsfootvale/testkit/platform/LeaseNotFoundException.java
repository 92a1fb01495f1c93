package org.coltsfootvale.testkit.platform;

/** A lease that does not exist or has lapsed. */
final class LeaseNotFoundException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  LeaseNotFoundException(long id) {
    super("etcdserver: requested lease not found: " + id);
  }
}
