package org.coltsfootvale.protocol;

import io.netty.channel.ChannelHandlerContext;
import java.util.function.Consumer;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.jspecify.annotations.Nullable;

/** The connecting side: proves the secret and then checks the peer's proof. */
final class ClientHandshake extends HandshakeHandler {

  private final Consumer<ClientChannel> onReady;
  private final Runnable onFailed;
  private final Hello own;
  private @Nullable Hello server;
  private @Nullable RouterIncarnation peer;

  /**
   * Creates a handshake.
   *
   * @param onReady takes the authenticated channel
   * @param onFailed is run if there is none
   */
  ClientHandshake(TransportContext context, Consumer<ClientChannel> onReady, Runnable onFailed) {
    super(context);
    this.onReady = onReady;
    this.onFailed = onFailed;
    own = Handshakes.hello(context.self());
  }

  @Override
  void begin(ChannelHandlerContext channel) {
    send(channel, Handshakes.envelope(own));
  }

  @Override
  void onRefused() {
    onFailed.run();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channel, Envelope message) {
    context.counters().received(message);
    Hello greeting = server;
    RouterIncarnation sender = peer;
    if (greeting == null || sender == null) {
      peer = Handshakes.sender(message);
      server = message.getHello();
      byte[] proof = context.proofs().clientProof(own, message.getHello());
      send(channel, Handshakes.proof(proof));
      return;
    }
    byte[] proof = message.getHelloProof().getMac().toByteArray();
    if (!message.hasHelloProof() || !context.proofs().isServerProof(proof, own, greeting)) {
      refuse(channel);
      return;
    }
    succeed();
    ClientChannel ready = new ClientChannel(context, sender, channel.channel());
    PeerPipeline.endHandshake(
        channel.pipeline(),
        ready,
        context.options().frameBytesMax(),
        context.options().heartbeat());
    context.counters().connectionsOpened.increment();
    context.handler().onPeerAlive(sender);
    onReady.accept(ready);
  }
}
