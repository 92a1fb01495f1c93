package org.coltsfootvale.router.control;

import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.gossip.GossipMessage;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.protocol.GossipCodec;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.wire.Envelope;

/** Passes gossip messages between the gossip protocol and the peer transport. */
public final class GossipLoop {

  private final Gossip gossip;
  private final GossipCodec codec;
  private final PeerTransport transport;
  private final PeerDirectory directory;

  /** Creates a loop that is driven by {@link #tick}. */
  public GossipLoop(
      Gossip gossip, GossipCodec codec, PeerTransport transport, PeerDirectory directory) {
    this.gossip = gossip;
    this.codec = codec;
    this.transport = transport;
    this.directory = directory;
  }

  /** Sends the messages that are due. */
  public void tick() {
    gossip.dueMessages().forEach(this::send);
    for (Gossip.SeedMessage message : gossip.dueSeedMessages()) {
      transport.send(message.to(), envelope(message.message()));
    }
  }

  /** Processes a received message and sends the replies. */
  public void onMessage(RouterId from, GossipMessage message) {
    gossip.onMessage(from, message).forEach(this::send);
  }

  private void send(Gossip.AddressedMessage message) {
    directory
        .addressOf(message.to())
        .ifPresent(address -> transport.send(address, envelope(message.message())));
  }

  private Envelope envelope(GossipMessage message) {
    return Envelope.newBuilder().setGossip(codec.encode(message)).build();
  }
}
