package org.coltsfootvale.core.store;

/**
 * Identifies a recovery of the store that a router has observed, so that every router applies and
 * forwards a report of it only once.
 *
 * @param origin identifies the incarnation of the router that observed the recovery; 0 if unknown
 * @param number counts the recoveries that the origin has observed, from 1
 */
public record StoreRecovery(long origin, long number) {}
