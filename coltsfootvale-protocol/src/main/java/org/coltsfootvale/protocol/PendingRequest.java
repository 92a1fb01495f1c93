package org.coltsfootvale.protocol;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.protocol.wire.Envelope;

/** A request and the future of its reply. */
record PendingRequest(Envelope message, CompletableFuture<Envelope> reply)
    implements OutboundMessage, ReplyReceiver {

  @Override
  public int queuedBytes() {
    return message.getSerializedSize();
  }

  @Override
  public boolean requiresResponsiveConnection() {
    return true;
  }

  @Override
  public void writeTo(ClientChannel channel) {
    long correlation = channel.register(this);
    var unused = reply.whenComplete((envelope, error) -> channel.unregister(correlation));
    channel.write(message.toBuilder().setCorrelation(correlation).build());
  }

  @Override
  public void onNotSent(ColtsfootvaleException error) {
    reply.completeExceptionally(error);
  }

  @Override
  public boolean onReply(Envelope envelope) {
    if (envelope.hasFailure()) {
      reply.completeExceptionally(FailureCodec.decode(envelope.getFailure()));
    } else {
      reply.complete(envelope);
    }
    return true;
  }

  @Override
  public void onConnectionLost() {
    reply.completeExceptionally(
        ColtsfootvaleException.outcomeUnknown(
            ErrorKind.INTERNAL, "The connection to the peer was lost before its reply."));
  }
}
