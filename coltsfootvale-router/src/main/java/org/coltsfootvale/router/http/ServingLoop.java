package org.coltsfootvale.router.http;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.store.Scheduler;
import org.coltsfootvale.core.support.Service;

/**
 * The single thread that serves all sockets of a router. Hosts give a router less than one core, so
 * further threads would only compete for it; state confined to this thread needs no locks.
 */
public final class ServingLoop implements Service, Scheduler {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long STOP_TIMEOUT_MILLIS = 200;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("serving"), NioIoHandler.newFactory());

  /** Creates the loop; its thread starts with the first task. */
  public ServingLoop() {}

  @Override
  public void start() {}

  @Override
  public void stop() {
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }

  /** Returns the event loop for channels. */
  public EventLoop eventLoop() {
    return (EventLoop) group.next();
  }

  /** Returns the group that consists of this event loop only. */
  public EventLoopGroup group() {
    return group;
  }

  /**
   * Opens a connection that this loop serves.
   *
   * @param address the remote address
   * @param timeoutMillis the connect time-out
   * @param setUp adds the handlers of the connection
   */
  ChannelFuture connect(HostPort address, int timeoutMillis, Consumer<ChannelPipeline> setUp) {
    return TcpKeepAlive.enable(new Bootstrap())
        .group(eventLoop())
        .channelFactory(ClientSocketChannel::new)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                setUp.accept(channel.pipeline());
              }
            })
        .connect(new InetSocketAddress(address.host(), address.port()));
  }

  /** Runs a task on the thread of the loop. */
  public void execute(Runnable task) {
    eventLoop().execute(withErrorLogging(task));
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    var unused =
        eventLoop().schedule(withErrorLogging(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs a task after all sockets have been read again, so that it sees every connection closed
   * before this call. The loop runs scheduled tasks after reading the sockets, and a task scheduled
   * by a task in the next iteration.
   */
  public void afterNextRead(Runnable task) {
    schedule(Duration.ZERO, () -> schedule(Duration.ZERO, task));
  }

  /** Runs a task periodically, with a fixed delay between two runs. */
  public void every(Duration pause, Runnable task) {
    var unused =
        eventLoop()
            .scheduleWithFixedDelay(
                withErrorLogging(task), pause.toNanos(), pause.toNanos(), TimeUnit.NANOSECONDS);
  }

  private static Runnable withErrorLogging(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | OutOfMemoryError e) {
        // An error would end a periodic task.
        LOGGER.atSevere().withCause(e).log("a task of the serving loop threw an exception");
      }
    };
  }
}
