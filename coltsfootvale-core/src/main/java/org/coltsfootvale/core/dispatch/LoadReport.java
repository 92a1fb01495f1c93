package org.coltsfootvale.core.dispatch;

/**
 * A replica's report of its own load.
 *
 * @param running the number of requests in progress
 * @param waiting the number of requests queued at the replica
 * @param slots the number of requests that it processes concurrently
 */
public record LoadReport(int running, int waiting, int slots) {}
