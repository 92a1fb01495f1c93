package org.coltsfootvale.protocol;

import io.netty.channel.EventLoop;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardCancel;
import org.coltsfootvale.protocol.wire.ForwardCredit;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.jspecify.annotations.Nullable;

/** A forwarded request. Its state is confined to the connection's event loop. */
final class OutgoingStream implements ForwardStream, OutboundMessage, ReplyReceiver {

  private final EventLoop eventLoop;
  private final ForwardRequest request;
  private final ForwardListener listener;
  private @Nullable ClientChannel channel;
  private long correlation;
  private boolean ended;

  /** Creates a stream whose request has yet to be sent. */
  OutgoingStream(EventLoop loop, ForwardRequest request, ForwardListener listener) {
    this.eventLoop = loop;
    this.request = request;
    this.listener = listener;
  }

  @Override
  public int queuedBytes() {
    return request.getSerializedSize();
  }

  @Override
  public boolean requiresResponsiveConnection() {
    return true;
  }

  @Override
  public void writeTo(ClientChannel target) {
    if (ended) {
      return;
    }
    channel = target;
    correlation = target.register(this);
    target.write(
        Envelope.newBuilder().setCorrelation(correlation).setForwardRequest(request).build());
  }

  @Override
  public void onNotSent(ColtsfootvaleException error) {
    fail(error);
  }

  @Override
  public boolean onReply(Envelope envelope) {
    if (ended) {
      return true;
    }
    switch (envelope.getBodyCase()) {
      case FORWARD_HEAD -> listener.onHead(envelope.getForwardHead());
      case FORWARD_BODY -> listener.onBody(envelope.getForwardBody().getData().toByteArray());
      case FORWARD_END -> {
        ended = true;
        listener.onEnd();
      }
      case FAILURE -> fail(FailureCodec.decode(envelope.getFailure()));
      default ->
          throw new IllegalArgumentException("unexpected message: " + envelope.getBodyCase());
    }
    return ended;
  }

  @Override
  public void onConnectionLost() {
    fail(
        ColtsfootvaleException.outcomeUnknown(
            ErrorKind.HOME_LOST, "The connection to the peer was lost before the answer's end."));
  }

  @Override
  public void grant(int bytes) {
    eventLoop.execute(
        () ->
            sendIfOpen(
                Envelope.newBuilder()
                    .setForwardCredit(ForwardCredit.newBuilder().setBytes(bytes))));
  }

  @Override
  public void cancel() {
    eventLoop.execute(this::cancelOnLoop);
  }

  private void cancelOnLoop() {
    if (ended) {
      return;
    }
    sendIfOpen(Envelope.newBuilder().setForwardCancel(ForwardCancel.getDefaultInstance()));
    ClientChannel target = channel;
    String detail = "The forwarded request was cancelled.";
    if (target == null) {
      fail(ColtsfootvaleException.notRun(ErrorKind.CANCELLED, detail));
    } else {
      target.unregister(correlation);
      fail(ColtsfootvaleException.outcomeUnknown(ErrorKind.CANCELLED, detail));
    }
  }

  private void sendIfOpen(Envelope.Builder message) {
    ClientChannel target = channel;
    if (!ended && target != null) {
      target.write(message.setCorrelation(correlation).build());
    }
  }

  private void fail(ColtsfootvaleException error) {
    if (!ended) {
      ended = true;
      listener.onFailure(error);
    }
  }
}
