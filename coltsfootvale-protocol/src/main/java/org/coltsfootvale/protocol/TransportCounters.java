package org.coltsfootvale.protocol;

/**
 * A snapshot of the counters of the inner protocol since its start.
 *
 * @param controlBytesSent bytes sent in frames other than those of forwarded requests
 * @param controlBytesReceived bytes received in such frames
 * @param forwardBytesSent bytes sent in frames of forwarded requests
 * @param forwardBytesReceived bytes received in such frames
 * @param messagesDropped one-way messages that were dropped
 * @param connectionsOpened connections opened to peers
 * @param connectionsRefused connections that failed the handshake
 * @param connectionsSilent connections closed because no message arrived within the timeout
 * @param framesInvalid invalid frames and messages; each closes its connection
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
