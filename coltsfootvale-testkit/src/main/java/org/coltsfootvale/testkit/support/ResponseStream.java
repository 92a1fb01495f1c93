package org.coltsfootvale.testkit.support;

import io.javalin.http.Context;
import jakarta.servlet.ServletOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * An answer that is written piece by piece by whichever thread has one, without a thread of its own
 * while it waits. Pieces leave in the order of the calls. Safe for use by several threads.
 */
public final class ResponseStream {

  private final Context ctx;
  private final Executor executor;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final Object lock = new Object();
  private final Queue<byte[]> pending = new ArrayDeque<>();
  private boolean draining;
  private boolean ended;
  private boolean silenced;
  private boolean cutAtEnd;

  private ResponseStream(Context ctx, Executor executor) {
    this.ctx = ctx;
    this.executor = executor;
  }

  /**
   * Begins a stream as the answer of a request.
   *
   * @param ctx the request
   * @param executor runs the writes
   */
  public static ResponseStream open(Context ctx, Executor executor) {
    ResponseStream stream = new ResponseStream(ctx, executor);
    ctx.future(() -> stream.done);
    return stream;
  }

  /** Writes a piece and flushes it; does nothing after the end. */
  public void write(byte[] piece) {
    synchronized (lock) {
      if (ended || silenced) {
        return;
      }
      pending.add(piece);
      drainSoon();
    }
  }

  /** Ends the answer after the pieces written so far. */
  public void end() {
    synchronized (lock) {
      if (!silenced) {
        ended = true;
        drainSoon();
      }
    }
  }

  /** Closes the connection after the pieces written so far, without a proper end. */
  public void cut() {
    synchronized (lock) {
      cutAtEnd = true;
      ended = true;
      drainSoon();
    }
  }

  /** Leaves the connection open and writes nothing any more. */
  public void silence() {
    synchronized (lock) {
      silenced = true;
    }
  }

  /** Runs an action when the answer has ended or the peer has gone. */
  public void onDone(Runnable action) {
    var unused = done.thenRun(action);
  }

  private void drainSoon() {
    if (!draining) {
      draining = true;
      executor.execute(this::drain);
    }
  }

  private void drain() {
    try {
      ServletOutputStream out = ctx.res().getOutputStream();
      boolean wrote = true;
      while (wrote) {
        wrote = writePending(out);
      }
      out.flush();
      finishIfEnded();
    } catch (IOException | IllegalStateException e) {
      abandon();
    }
  }

  private boolean writePending(ServletOutputStream out) throws IOException {
    boolean any = false;
    byte[] piece = nextPiece();
    while (piece != null) {
      out.write(piece);
      any = true;
      piece = nextPiece();
    }
    return any;
  }

  private byte @org.jspecify.annotations.Nullable [] nextPiece() {
    synchronized (lock) {
      return pending.poll();
    }
  }

  private void finishIfEnded() {
    boolean finish;
    synchronized (lock) {
      draining = false;
      if (!pending.isEmpty()) {
        drainSoon();
        return;
      }
      finish = ended;
    }
    if (finish) {
      if (cutAtEnd) {
        Connections.close(ctx);
      }
      done.complete(null);
    }
  }

  private void abandon() {
    synchronized (lock) {
      ended = true;
      pending.clear();
    }
    done.complete(null);
  }
}
