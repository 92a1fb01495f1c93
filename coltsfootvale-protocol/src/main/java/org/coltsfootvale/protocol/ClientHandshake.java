package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import java.util.function.Consumer;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.jspecify.annotations.Nullable;

/** The client side of the handshake: sends its proof first, then verifies that of the server. */
final class ClientHandshake extends HandshakeHandler {

  private final Consumer<ClientChannel> onAuthenticated;
  private final Runnable onFailed;
  private final Hello ownHello;
  private @Nullable Hello serverHello;
  private @Nullable RouterIncarnation peer;

  /**
   * Creates a handshake.
   *
   * @param onAuthenticated receives the authenticated channel
   * @param onFailed runs if the handshake fails
   */
  ClientHandshake(
      TransportContext context, Consumer<ClientChannel> onAuthenticated, Runnable onFailed) {
    super(context);
    this.onAuthenticated = onAuthenticated;
    this.onFailed = onFailed;
    ownHello = HandshakeMessages.hello(context.self());
  }

  @Override
  void begin(ChannelHandlerContext channel) {
    send(channel, HandshakeMessages.envelope(ownHello));
  }

  @Override
  void onFailed() {
    onFailed.run();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, Envelope message) {
    context.counters().received(message);
    Hello hello = serverHello;
    RouterIncarnation sender = peer;
    if (hello == null || sender == null) {
      peer = HandshakeMessages.parseSender(message);
      serverHello = message.getHello();
      byte[] proof = context.proofs().clientProof(ownHello, message.getHello());
      send(channel, HandshakeMessages.proof(proof));
      return;
    }
    byte[] proof = message.getHelloProof().getMac().toByteArray();
    if (!message.hasHelloProof() || !context.proofs().isServerProof(proof, ownHello, hello)) {
      failHandshake(channel);
      return;
    }
    finish();
    ClientChannel clientChannel = new ClientChannel(context, sender, channel.channel());
    PeerPipeline.endHandshake(
        channel.pipeline(),
        clientChannel,
        context.options().frameBytesMax(),
        context.options().heartbeatInterval());
    context.counters().connectionsOpened.increment();
    context.handler().onPeerAlive(sender);
    onAuthenticated.accept(clientChannel);
  }
}
