package org.coltsfootvale.core.gossip;

/**
 * Counters of gossip since the start.
 *
 * @param messagesSent messages returned for sending
 * @param messagesReceived messages processed
 * @param bytesSent encoded bytes of sent messages
 * @param bytesReceived encoded bytes of received messages
 * @param entriesHeldBack entries deferred because the byte budget was exhausted, counted again for
 *     each message and up to 50 for each class
 * @param entriesStale received entries that were older than the current ones
 */
public record GossipCounters(
    long messagesSent,
    long messagesReceived,
    long bytesSent,
    long bytesReceived,
    long entriesHeldBack,
    long entriesStale) {}
