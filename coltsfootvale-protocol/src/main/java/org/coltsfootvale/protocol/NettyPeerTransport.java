package org.coltsfootvale.protocol;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.jspecify.annotations.Nullable;

/** A {@link PeerTransport} on Netty's NIO transport. */
public final class NettyPeerTransport implements PeerTransport {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int THREADS_MAX = 4;
  private static final int CONNECTIONS_MAX = 4_096;
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final InetSocketAddress bindAddress;
  private final TransportContext context;
  private final @Nullable EventLoopGroup sharedEventLoops;
  private final Map<HostPort, PeerConnection> connections = new ConcurrentHashMap<>();
  private final ChannelGroup acceptedChannels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private @Nullable EventLoopGroup eventLoops;
  private @Nullable Bootstrap clientBootstrap;
  private @Nullable Channel listenChannel;

  /**
   * Creates a transport.
   *
   * @param self the incarnation of this router
   * @param bindAddress the address to listen on
   * @param secrets the accepted fleet secrets; outgoing connections use the first
   * @param handler handles messages from peers
   * @param options the limits and timeouts
   * @param clock the time source
   */
  public NettyPeerTransport(
      RouterIncarnation self,
      HostPort bindAddress,
      List<String> secrets,
      PeerHandler handler,
      PeerTransportOptions options,
      InstantSource clock) {
    this(
        self,
        new InetSocketAddress(bindAddress.host(), bindAddress.port()),
        secrets,
        handler,
        options,
        clock);
  }

  /** Creates a transport; port 0 selects any free port. */
  public NettyPeerTransport(
      RouterIncarnation self,
      InetSocketAddress bindAddress,
      List<String> secrets,
      PeerHandler handler,
      PeerTransportOptions options,
      InstantSource clock) {
    this(self, bindAddress, secrets, handler, options, clock, null);
  }

  /**
   * Creates a transport on event loops owned by the caller, who shuts them down.
   *
   * @param sharedEventLoops the event loops, or null to create and own a group
   */
  public NettyPeerTransport(
      RouterIncarnation self,
      InetSocketAddress bindAddress,
      List<String> secrets,
      PeerHandler handler,
      PeerTransportOptions options,
      InstantSource clock,
      @Nullable EventLoopGroup sharedEventLoops) {
    this.sharedEventLoops = sharedEventLoops;
    this.bindAddress = bindAddress;
    this.context =
        new TransportContext(
            self, new HandshakeProofs(secrets), handler, options, new TrafficCounters(), clock);
  }

  @Override
  public synchronized void start() {
    if (eventLoops != null) {
      return;
    }
    EventLoopGroup group = sharedEventLoops != null ? sharedEventLoops : createEventLoops();
    eventLoops = group;
    clientBootstrap = createClientBootstrap(group);
    listenChannel = bind(group);
    LOGGER.atInfo().log("listening for peers on %s", listenChannel.localAddress());
  }

  @Override
  public synchronized void stop() {
    EventLoopGroup group = eventLoops;
    if (group == null) {
      return;
    }
    eventLoops = null;
    if (listenChannel != null) {
      listenChannel.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
      listenChannel = null;
    }
    connections.values().forEach(PeerConnection::stop);
    connections.clear();
    acceptedChannels.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    if (group == sharedEventLoops) {
      return;
    }
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }

  /**
   * Returns the address that the transport listens on.
   *
   * @throws IllegalStateException if the transport has not been started
   */
  public synchronized HostPort boundAddress() {
    if (listenChannel == null) {
      throw new IllegalStateException("the transport has not been started");
    }
    InetSocketAddress address = (InetSocketAddress) listenChannel.localAddress();
    return new HostPort(address.getAddress().getHostAddress(), address.getPort());
  }

  @Override
  public boolean send(HostPort peer, Envelope message) {
    PeerConnection connection = connection(peer);
    if (connection == null) {
      context.counters().messagesDropped.increment();
      return false;
    }
    return connection.offer(new OneWayMessage(message, context.counters()));
  }

  @Override
  public CompletableFuture<Envelope> request(HostPort peer, Envelope message, Duration timeout) {
    PeerConnection connection = connection(peer);
    CompletableFuture<Envelope> reply = new CompletableFuture<>();
    if (connection == null) {
      reply.completeExceptionally(notStarted());
      return reply;
    }
    connection.submit(new PendingRequest(message, reply));
    var timer =
        connection
            .eventLoop()
            .schedule(
                () -> reply.completeExceptionally(timedOut(peer, timeout)),
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
    var unused = reply.whenComplete((envelope, error) -> timer.cancel(false));
    return reply;
  }

  @Override
  public ForwardStream forward(HostPort peer, ForwardRequest request, ForwardListener listener) {
    PeerConnection connection = connection(peer);
    if (connection == null) {
      listener.onFailure(notStarted());
      return new NoOpForwardStream();
    }
    OutgoingStream stream = new OutgoingStream(connection.eventLoop(), request, listener);
    connection.submit(stream);
    return stream;
  }

  @Override
  public TransportCounters counters() {
    return context.counters().snapshot();
  }

  private @Nullable PeerConnection connection(HostPort peer) {
    PeerConnection existing = connections.get(peer);
    if (existing != null) {
      return existing;
    }
    return openConnection(peer);
  }

  private synchronized @Nullable PeerConnection openConnection(HostPort peer) {
    EventLoopGroup group = eventLoops;
    Bootstrap bootstrap = clientBootstrap;
    if (group == null || bootstrap == null) {
      return null;
    }
    if (connections.size() >= CONNECTIONS_MAX) {
      evictIdleConnections();
    }
    return connections.computeIfAbsent(
        peer, address -> new PeerConnection(address, context, bootstrap, group.next()));
  }

  private void evictIdleConnections() {
    Instant idleCutoff = context.clock().instant().minus(context.options().idleTimeout());
    connections
        .values()
        .removeIf(
            connection -> {
              boolean idle = connection.lastUsedAt().isBefore(idleCutoff);
              if (idle) {
                connection.stop();
              }
              return idle;
            });
  }

  private static EventLoopGroup createEventLoops() {
    int threads = Math.min(THREADS_MAX, Runtime.getRuntime().availableProcessors());
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory("peer-transport", true), NioIoHandler.newFactory());
  }

  private Bootstrap createClientBootstrap(EventLoopGroup group) {
    int timeoutMillis = Math.toIntExact(context.options().connectTimeout().toMillis());
    int bytesMax = context.options().sendQueueBytesMax();
    WriteBufferWaterMark waterMark = new WriteBufferWaterMark(bytesMax / 2, bytesMax);
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis);
  }

  private Channel bind(EventLoopGroup group) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    acceptedChannels.add(channel);
                    PeerPipeline.beginHandshake(channel.pipeline(), new ServerHandshake(context));
                  }
                });
    return server.bind(bindAddress).syncUninterruptibly().channel();
  }

  private static ColtsfootvaleException notStarted() {
    return ColtsfootvaleException.notRun(ErrorKind.SHUTTING_DOWN, "The transport is not running.");
  }

  private static ColtsfootvaleException timedOut(HostPort peer, Duration timeout) {
    return ColtsfootvaleException.outcomeUnknown(
        ErrorKind.DEADLINE_EXCEEDED, "No reply of " + peer + " within " + timeout + ".");
  }

  /** The handle of a request that could not be sent. */
  private static final class NoOpForwardStream implements ForwardStream {

    @Override
    public void grant(int bytes) {}

    @Override
    public void cancel() {}
  }
}
