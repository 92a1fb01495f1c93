package org.coltsfootvale.core.gossip;

/**
 * Counters of gossip since the start.
 *
 * @param messagesSent messages handed out for sending
 * @param messagesReceived messages taken
 * @param bytesSent encoded bytes handed out
 * @param bytesReceived encoded bytes taken
 * @param entriesHeldBack entries that waited because the byte budget was used up, counted again at
 *     each message and up to 50 for each class
 * @param entriesStale received entries that were older than the known ones
 */
public record GossipCounters(
    long messagesSent,
    long messagesReceived,
    long bytesSent,
    long bytesReceived,
    long entriesHeldBack,
    long entriesStale) {}
