package org.coltsfootvale.router.http;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpClientCodec;
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

/** The connections to replicas, each kept for further requests. Confined to the serving loop. */
public final class ReplicaConnectionPool {

  /** Long enough for a lost opening packet to be sent once more after a second. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_200;

  /** How long an unused connection is kept if the replica announces nothing. */
  private static final Duration IDLE_MAX = Duration.ofSeconds(3);

  /** How fresh a kept connection must be for a request that must not be repeated. */
  private static final Duration FRESH = Duration.ofSeconds(1);

  private static final int HEAD_LINE_BYTES_MAX = 4_096;
  private static final int HEAD_BYTES_MAX = 65_536;
  private static final int CHUNK_BYTES_MAX = 65_536;

  private final ServingLoop loop;
  private final LongSupplier nanoTime;
  private final Map<ReplicaState, Deque<ReplicaConnection>> idle = new HashMap<>();

  /** Creates an empty pool. */
  public ReplicaConnectionPool(ServingLoop loop, LongSupplier nanoTime) {
    this.loop = loop;
    this.nanoTime = nanoTime;
  }

  /**
   * Takes a kept connection to a replica, the one that was used last.
   *
   * @param fresh whether only a connection that was just used will do
   */
  public @Nullable ReplicaConnection acquire(ReplicaState replica, boolean fresh) {
    Deque<ReplicaConnection> kept = idle.get(replica);
    if (kept == null) {
      return null;
    }
    ReplicaConnection link = kept.peekLast();
    if (link == null || (fresh && link.idle().compareTo(FRESH) > 0)) {
      return null;
    }
    kept.pollLast();
    if (!link.active() || link.expired()) {
      link.cancel();
      return acquire(replica, fresh);
    }
    return link;
  }

  /** Opens a connection; the callback gets either the connection or the failure. */
  public void connect(
      ReplicaState replica, BiConsumer<@Nullable ReplicaConnection, @Nullable Throwable> callback) {
    ReplicaConnection link =
        new ReplicaConnection(
            IDLE_MAX,
            nanoTime,
            replica.health()::onDataReceived,
            idleLink -> keep(replica, idleLink),
            closed -> forget(replica, closed));
    ChannelFuture connecting =
        loop.connect(
            replica.replica().address(),
            CONNECT_TIMEOUT_MILLIS,
            pipeline -> {
              pipeline.addLast(new UnaskedBytesGuard(link));
              pipeline.addLast(
                  new HttpClientCodec(HEAD_LINE_BYTES_MAX, HEAD_BYTES_MAX, CHUNK_BYTES_MAX));
              pipeline.addLast(link);
            });
    var unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                callback.accept(link, null);
              } else {
                callback.accept(null, done.cause());
              }
            });
  }

  /** Closes connections that have been unused for too long, and those to replicas not in use. */
  public void evictIdle(Predicate<ReplicaState> inUse) {
    Iterator<Map.Entry<ReplicaState, Deque<ReplicaConnection>>> entries =
        idle.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<ReplicaState, Deque<ReplicaConnection>> entry = entries.next();
      boolean used = inUse.test(entry.getKey());
      for (ReplicaConnection link : new ArrayDeque<>(entry.getValue())) {
        if (!used || link.expired()) {
          entry.getValue().remove(link);
          link.cancel();
        }
      }
      if (entry.getValue().isEmpty()) {
        entries.remove();
      }
    }
  }

  private void keep(ReplicaState replica, ReplicaConnection link) {
    idle.computeIfAbsent(replica, state -> new ArrayDeque<>()).addLast(link);
  }

  private void forget(ReplicaState replica, ReplicaConnection link) {
    Deque<ReplicaConnection> kept = idle.get(replica);
    if (kept != null) {
      kept.remove(link);
    }
  }
}
