package org.coltsfootvale.router.http;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.jspecify.annotations.Nullable;

/** The pool of connections to replicas. Confined to the serving loop. */
public final class ReplicaConnectionPool {

  /** Allows for one retransmission of a lost SYN packet, which is sent after a second. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_200;

  /** The idle time-out of connections to replicas that announce none. */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(3);

  /** The maximum idle time of a connection for a request that must not be repeated. */
  private static final Duration FRESH_IDLE_TIME_MAX = Duration.ofSeconds(1);

  private static final int HEAD_LINE_BYTES_MAX = 4_096;
  private static final int HEAD_BYTES_MAX = 65_536;
  private static final int CHUNK_BYTES_MAX = 65_536;

  private static final HttpDecoderConfig DECODER_CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(HEAD_LINE_BYTES_MAX)
          .setMaxHeaderSize(HEAD_BYTES_MAX)
          .setMaxChunkSize(CHUNK_BYTES_MAX);

  private final ServingLoop loop;
  private final LongSupplier nanoTime;
  private final Map<ReplicaState, Deque<ReplicaConnection>> idle = new HashMap<>();

  /** Creates an empty pool. */
  public ReplicaConnectionPool(ServingLoop loop, LongSupplier nanoTime) {
    this.loop = loop;
    this.nanoTime = nanoTime;
  }

  /**
   * Takes the most recently used idle connection to a replica, or returns null if none fits.
   *
   * @param fresh whether to accept only a connection that was used within the last second
   */
  public @Nullable ReplicaConnection acquire(ReplicaState replica, boolean fresh) {
    Deque<ReplicaConnection> connections = idle.get(replica);
    if (connections == null) {
      return null;
    }
    ReplicaConnection connection = connections.peekLast();
    if (connection == null || (fresh && connection.idleTime().compareTo(FRESH_IDLE_TIME_MAX) > 0)) {
      return null;
    }
    connections.pollLast();
    if (!connection.active() || connection.expired()) {
      connection.cancel();
      return acquire(replica, fresh);
    }
    return connection;
  }

  /** Opens a connection; the callback receives either the connection or the failure. */
  public void connect(
      ReplicaState replica, BiConsumer<@Nullable ReplicaConnection, @Nullable Throwable> callback) {
    ReplicaConnection connection =
        new ReplicaConnection(
            DECODER_CONFIG,
            DEFAULT_IDLE_TIMEOUT,
            nanoTime,
            replica.health()::onDataReceived,
            idleConnection -> addIdle(replica, idleConnection),
            closed -> removeIdle(replica, closed));
    ChannelFuture connecting =
        loop.connect(replica.replica().address(), CONNECT_TIMEOUT_MILLIS, connection::install);
    var unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                callback.accept(connection, null);
              } else {
                callback.accept(null, done.cause());
              }
            });
  }

  /** Closes connections that exceed their idle time-out, and those to replicas not in use. */
  public void evictIdle(Predicate<ReplicaState> inUse) {
    Iterator<Map.Entry<ReplicaState, Deque<ReplicaConnection>>> entries =
        idle.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<ReplicaState, Deque<ReplicaConnection>> entry = entries.next();
      boolean used = inUse.test(entry.getKey());
      for (ReplicaConnection connection : new ArrayDeque<>(entry.getValue())) {
        if (!used || connection.expired()) {
          entry.getValue().remove(connection);
          connection.cancel();
        }
      }
      if (entry.getValue().isEmpty()) {
        entries.remove();
      }
    }
  }

  private void addIdle(ReplicaState replica, ReplicaConnection connection) {
    idle.computeIfAbsent(replica, state -> new ArrayDeque<>()).addLast(connection);
  }

  private void removeIdle(ReplicaState replica, ReplicaConnection connection) {
    Deque<ReplicaConnection> connections = idle.get(replica);
    if (connections != null) {
      connections.remove(connection);
    }
  }
}
