package org.coltsfootvale.protocol;

/**
 * Counters of the inner protocol since the start.
 *
 * @param controlBytesSent bytes of all frames but those of forwarded requests
 * @param controlBytesReceived likewise received
 * @param forwardBytesSent bytes of the frames of forwarded requests
 * @param forwardBytesReceived likewise received
 * @param messagesDropped one-way messages that were not sent
 * @param connectionsOpened connections opened to peers
 * @param connectionsRefused connections that failed the handshake
 * @param connectionsSilent connections closed because heartbeats stayed unanswered
 * @param framesInvalid frames that could not be read; each ends its connection
 */
public record TransportCounters(
    long controlBytesSent,
    long controlBytesReceived,
    long forwardBytesSent,
    long forwardBytesReceived,
    long messagesDropped,
    long connectionsOpened,
    long connectionsRefused,
    long connectionsSilent,
    long framesInvalid) {}
