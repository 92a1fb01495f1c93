package org.coltsfootvale.protocol;

import java.time.InstantSource;
import org.coltsfootvale.core.model.RouterIncarnation;

/** The dependencies shared by all connections of a transport. */
record TransportContext(
    RouterIncarnation self,
    HandshakeProofs proofs,
    PeerHandler handler,
    PeerTransportOptions options,
    TrafficCounters counters,
    InstantSource clock) {}
