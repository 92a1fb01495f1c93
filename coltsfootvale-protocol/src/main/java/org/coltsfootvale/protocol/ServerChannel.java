package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Pong;

/** An authenticated connection opened by a peer. */
final class ServerChannel extends PeerChannelHandler {

  private final Map<Long, IncomingStream> streams = new ConcurrentHashMap<>();

  /** Creates a handler for an authenticated channel. */
  ServerChannel(TransportContext context, RouterIncarnation peer) {
    super(context, peer);
  }

  @Override
  void onEnvelope(ChannelHandlerContext channel, Envelope message) {
    switch (message.getBodyCase()) {
      case PING -> answerPing(channel);
      case GOSSIP -> context.handler().onGossip(peer, message.getGossip());
      case DISPATCH_COUNTS -> context.handler().onDispatchCounts(peer, message.getDispatchCounts());
      case SERVING_NEWS -> context.handler().onRouterUpdate(peer, message.getServingNews());
      case PREFIX_CHANGES -> context.handler().onPrefixChanges(peer, message.getPrefixChanges());
      case PLACEMENTS_REQUEST -> answer(channel, message, () -> placementsReply());
      case PREFIX_REQUEST -> answer(channel, message, () -> prefixReply(message));
      case DEMAND_REPORT -> answer(channel, message, () -> demandReply(message));
      case NOTES_REQUEST -> answer(channel, message, () -> notesReply(message));
      case FORWARD_REQUEST -> open(channel, message);
      case FORWARD_CREDIT -> grant(message);
      case FORWARD_CANCEL -> cancel(message);
      default -> throw new IllegalArgumentException("unexpected message: " + message.getBodyCase());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext channel, Object event) {
    if (event instanceof IdleStateEvent) {
      closeUnresponsive(channel);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext channel) {
    List<IncomingStream> lost = List.copyOf(streams.values());
    lost.forEach(IncomingStream::cancel);
  }

  private void answerPing(ChannelHandlerContext channel) {
    send(channel, Envelope.newBuilder().setPong(Pong.getDefaultInstance()).build());
    context.handler().onPeerAlive(peer);
  }

  private Envelope.Builder demandReply(Envelope message) {
    var grant = context.handler().onDemandReport(peer, message.getDemandReport());
    return Envelope.newBuilder().setShareGrant(grant);
  }

  private Envelope.Builder notesReply(Envelope message) {
    var notes = context.handler().onNotesRequest(peer, message.getNotesRequest());
    return Envelope.newBuilder().setNotesReply(notes);
  }

  private Envelope.Builder placementsReply() {
    return Envelope.newBuilder().setServingNews(context.handler().onPlacementsRequest(peer));
  }

  private Envelope.Builder prefixReply(Envelope message) {
    var reply = context.handler().onPrefixRequest(peer, message.getPrefixRequest());
    return Envelope.newBuilder().setPrefixReply(reply);
  }

  private void answer(
      ChannelHandlerContext channel, Envelope message, Supplier<Envelope.Builder> handling) {
    Envelope.Builder reply;
    try {
      reply = handling.get();
    } catch (ColtsfootvaleException e) {
      reply = Envelope.newBuilder().setFailure(FailureCodec.encode(e));
    }
    send(channel, reply.setCorrelation(message.getCorrelation()).build());
  }

  private void open(ChannelHandlerContext channel, Envelope message) {
    long correlation = message.getCorrelation();
    if (correlation == 0 || streams.containsKey(correlation)) {
      throw new IllegalArgumentException("the stream ID " + correlation + " is zero or in use");
    }
    long creditBytes = Integer.toUnsignedLong(message.getForwardRequest().getInitialCreditBytes());
    IncomingStream stream =
        new IncomingStream(
            correlation,
            creditBytes,
            envelope -> send(channel, envelope),
            () -> streams.remove(correlation));
    if (streams.size() >= context.options().streamsMax()) {
      stream.fail(
          ColtsfootvaleException.notRun(
              ErrorKind.OVERLOADED, "This peer has too many forwarded requests open."));
      return;
    }
    streams.put(correlation, stream);
    serve(message, stream);
  }

  private void serve(Envelope message, IncomingStream stream) {
    try {
      context.handler().onForward(peer, message.getForwardRequest(), stream);
    } catch (ColtsfootvaleException e) {
      stream.fail(e);
    } catch (RuntimeException e) {
      String detail = "The peer failed to serve the forwarded request.";
      stream.fail(ColtsfootvaleException.outcomeUnknown(ErrorKind.INTERNAL, detail));
    }
  }

  private void grant(Envelope message) {
    IncomingStream stream = streams.get(message.getCorrelation());
    if (stream != null) {
      stream.grant(Integer.toUnsignedLong(message.getForwardCredit().getBytes()));
    }
  }

  private void cancel(Envelope message) {
    IncomingStream stream = streams.get(message.getCorrelation());
    if (stream != null) {
      stream.cancel();
    }
  }
}
