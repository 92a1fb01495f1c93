package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.jspecify.annotations.Nullable;

/** The accepting side: lets the peer prove the secret first. */
final class ServerHandshake extends HandshakeHandler {

  private static final int SILENCE_FACTOR = 2;

  private final Hello own;
  private @Nullable Hello client;
  private @Nullable RouterIncarnation peer;

  /** Creates a handshake. */
  ServerHandshake(TransportContext context) {
    super(context);
    own = Handshakes.hello(context.self());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, Envelope message) {
    context.counters().received(message);
    Hello greeting = client;
    RouterIncarnation sender = peer;
    if (greeting == null || sender == null) {
      peer = Handshakes.sender(message);
      client = message.getHello();
      send(channel, Handshakes.envelope(own));
      return;
    }
    byte[] proof = message.getHelloProof().getMac().toByteArray();
    byte[] answer = context.proofs().answerClientProof(proof, greeting, own);
    if (!message.hasHelloProof() || answer == null) {
      refuse(channel);
      return;
    }
    send(channel, Handshakes.proof(answer));
    succeed();
    PeerPipeline.endHandshake(
        channel.pipeline(),
        new ServerChannel(context, sender),
        context.options().frameBytesMax(),
        context.options().silence().multipliedBy(SILENCE_FACTOR));
    context.handler().onPeerAlive(sender);
  }
}
