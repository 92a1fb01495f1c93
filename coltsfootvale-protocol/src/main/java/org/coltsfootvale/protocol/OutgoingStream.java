package org.coltsfootvale.protocol;

import io.netty.channel.EventLoop;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardCancel;
import org.coltsfootvale.protocol.wire.ForwardCredit;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.jspecify.annotations.Nullable;

/** A request that this router has forwarded. All state belongs to the connection's event loop. */
final class OutgoingStream implements ForwardStream, Outbound, ReplyReceiver {

  private final EventLoop loop;
  private final ForwardRequest request;
  private final ForwardListener listener;
  private @Nullable ClientChannel channel;
  private long correlation;
  private boolean ended;

  /** Creates a stream whose request has not been sent. */
  OutgoingStream(EventLoop loop, ForwardRequest request, ForwardListener listener) {
    this.loop = loop;
    this.request = request;
    this.listener = listener;
  }

  @Override
  public int queuedBytes() {
    return request.getSerializedSize();
  }

  @Override
  public boolean needsProvenConnection() {
    return true;
  }

  @Override
  public void writeTo(ClientChannel open) {
    if (ended) {
      return;
    }
    channel = open;
    correlation = open.register(this);
    open.write(
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
  public void onLost() {
    fail(
        ColtsfootvaleException.outcomeUnknown(
            ErrorKind.HOME_LOST, "The connection to the peer was lost before the answer's end."));
  }

  @Override
  public void grant(int bytes) {
    loop.execute(
        () ->
            sendIfOpen(
                Envelope.newBuilder()
                    .setForwardCredit(ForwardCredit.newBuilder().setBytes(bytes))));
  }

  @Override
  public void cancel() {
    loop.execute(this::cancelOnLoop);
  }

  private void cancelOnLoop() {
    if (ended) {
      return;
    }
    sendIfOpen(Envelope.newBuilder().setForwardCancel(ForwardCancel.getDefaultInstance()));
    ClientChannel open = channel;
    String detail = "The forwarded request was cancelled.";
    if (open == null) {
      fail(ColtsfootvaleException.notRun(ErrorKind.CANCELLED, detail));
    } else {
      open.forget(correlation);
      fail(ColtsfootvaleException.outcomeUnknown(ErrorKind.CANCELLED, detail));
    }
  }

  private void sendIfOpen(Envelope.Builder message) {
    ClientChannel open = channel;
    if (!ended && open != null) {
      open.write(message.setCorrelation(correlation).build());
    }
  }

  private void fail(ColtsfootvaleException error) {
    if (!ended) {
      ended = true;
      listener.onFailure(error);
    }
  }
}
