package org.coltsfootvale.core.dispatch;

/**
 * A replica's own count of its requests.
 *
 * @param running the requests that it processes
 * @param waiting the requests that wait at it
 * @param slots the requests that it processes at once
 */
public record LoadReport(int running, int waiting, int slots) {}
