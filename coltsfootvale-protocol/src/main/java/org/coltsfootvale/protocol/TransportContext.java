package org.coltsfootvale.protocol;

import java.time.InstantSource;
import org.coltsfootvale.core.model.RouterIncarnation;

/** What all connections of a transport share. */
record TransportContext(
    RouterIncarnation self,
    HandshakeProofs proofs,
    PeerHandler handler,
    PeerTransportOptions options,
    TrafficCounters counters,
    InstantSource clock) {}
