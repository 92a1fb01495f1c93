package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.jspecify.annotations.Nullable;

/** The server side of the handshake: verifies the client's proof before it sends its own. */
final class ServerHandshake extends HandshakeHandler {

  private static final int PEER_TIMEOUT_FACTOR = 2;

  private final Hello ownHello;
  private @Nullable Hello clientHello;
  private @Nullable RouterIncarnation peer;

  /** Creates a handshake. */
  ServerHandshake(TransportContext context) {
    super(context);
    ownHello = HandshakeMessages.hello(context.self());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, Envelope message) {
    context.counters().received(message);
    Hello hello = clientHello;
    RouterIncarnation sender = peer;
    if (hello == null || sender == null) {
      peer = HandshakeMessages.parseSender(message);
      clientHello = message.getHello();
      send(channel, HandshakeMessages.envelope(ownHello));
      return;
    }
    byte[] proof = message.getHelloProof().getMac().toByteArray();
    byte[] answer = context.proofs().answerClientProof(proof, hello, ownHello);
    if (!message.hasHelloProof() || answer == null) {
      failHandshake(channel);
      return;
    }
    send(channel, HandshakeMessages.proof(answer));
    finish();
    PeerPipeline.endHandshake(
        channel.pipeline(),
        new ServerChannel(context, sender),
        context.options().frameBytesMax(),
        context.options().peerTimeout().multipliedBy(PEER_TIMEOUT_FACTOR));
    context.handler().onPeerAlive(sender);
  }
}
