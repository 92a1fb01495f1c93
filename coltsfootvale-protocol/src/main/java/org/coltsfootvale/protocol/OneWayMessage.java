package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.Envelope;

/** A message without a reply. */
record OneWayMessage(Envelope message, TrafficCounters counters) implements Outbound {

  @Override
  public int queuedBytes() {
    return message.getSerializedSize();
  }

  @Override
  public boolean needsProvenConnection() {
    return false;
  }

  @Override
  public void writeTo(ClientChannel channel) {
    channel.write(message);
  }

  @Override
  public void onNotSent(ColtsfootvaleException error) {
    counters.messagesDropped.increment();
  }
}
