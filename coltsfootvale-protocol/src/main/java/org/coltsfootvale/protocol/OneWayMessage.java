package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.Envelope;

/** A message that has no reply; counted as dropped if it cannot be sent. */
record OneWayMessage(Envelope message, TrafficCounters counters) implements OutboundMessage {

  @Override
  public int queuedBytes() {
    return message.getSerializedSize();
  }

  @Override
  public boolean requiresResponsiveConnection() {
    return false;
  }

  @Override
  public void writeTo(ClientChannel channel) {
    if (!channel.channel().isWritable()) {
      // The peer does not read; later messages hold the latest state.
      counters.messagesDropped.increment();
      return;
    }
    channel.write(message);
  }

  @Override
  public void onNotSent(ColtsfootvaleException error) {
    counters.messagesDropped.increment();
  }
}
