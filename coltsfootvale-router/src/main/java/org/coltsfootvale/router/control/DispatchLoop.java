package org.coltsfootvale.router.control;

import java.util.function.Supplier;
import org.coltsfootvale.core.placement.DispatchCounts;
import org.coltsfootvale.core.placement.DispatchExchange;
import org.coltsfootvale.protocol.DispatchCodec;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.wire.Envelope;

/** Exchanges dispatch counts between the routers of a small fleet. */
public final class DispatchLoop {

  private final DispatchExchange exchange;
  private final Supplier<DispatchCounts> ownCounts;
  private final PeerTransport transport;
  private final PeerDirectory directory;

  /**
   * Creates a loop that is driven by {@link #tick}.
   *
   * @param ownCounts supplies the counts of unfinished requests that this router dispatched
   */
  public DispatchLoop(
      DispatchExchange exchange,
      Supplier<DispatchCounts> ownCounts,
      PeerTransport transport,
      PeerDirectory directory) {
    this.exchange = exchange;
    this.ownCounts = ownCounts;
    this.transport = transport;
    this.directory = directory;
  }

  /** Sends the counts that are due. */
  public void tick() {
    exchange.dueMessages(ownCounts.get()).forEach(this::send);
  }

  private void send(DispatchExchange.AddressedCounts addressed) {
    Envelope message =
        Envelope.newBuilder().setDispatchCounts(DispatchCodec.encode(addressed.counts())).build();
    directory.addressOf(addressed.to().id()).ifPresent(address -> transport.send(address, message));
  }
}
