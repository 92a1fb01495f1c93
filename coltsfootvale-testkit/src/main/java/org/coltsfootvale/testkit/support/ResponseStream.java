package org.coltsfootvale.testkit.support;

import io.javalin.http.Context;
import jakarta.servlet.ServletOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * A response that is written in chunks from any thread and occupies no thread between chunks.
 * Chunks are sent in the order of the calls. Thread-safe.
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
   * Opens a stream as the response to a request.
   *
   * @param ctx the request
   * @param executor the executor for the writes
   */
  public static ResponseStream open(Context ctx, Executor executor) {
    ResponseStream stream = new ResponseStream(ctx, executor);
    ctx.future(() -> stream.done);
    return stream;
  }

  /** Writes a chunk and flushes it; does nothing after the end or once silenced. */
  public void write(byte[] chunk) {
    synchronized (lock) {
      if (ended || silenced) {
        return;
      }
      pending.add(chunk);
      drainSoon();
    }
  }

  /** Ends the response after the chunks written so far; does nothing once silenced. */
  public void end() {
    synchronized (lock) {
      if (!silenced) {
        ended = true;
        drainSoon();
      }
    }
  }

  /**
   * Closes the connection after the chunks written so far, without ending the response properly.
   */
  public void cut() {
    synchronized (lock) {
      cutAtEnd = true;
      ended = true;
      drainSoon();
    }
  }

  /** Stops writing and leaves the connection open. */
  public void silence() {
    synchronized (lock) {
      silenced = true;
    }
  }

  /** Runs an action when the response has ended or a write has failed. */
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
    byte[] chunk = nextChunk();
    while (chunk != null) {
      out.write(chunk);
      any = true;
      chunk = nextChunk();
    }
    return any;
  }

  private byte @org.jspecify.annotations.Nullable [] nextChunk() {
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
