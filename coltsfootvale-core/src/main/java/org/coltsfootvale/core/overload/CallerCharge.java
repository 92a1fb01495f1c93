package org.coltsfootvale.core.overload;

import java.util.concurrent.TimeUnit;

/**
 * The bytes held for one connection of a caller. The amounts are absolute, so that setting one
 * twice charges it once, and a closed charge stays at zero.
 */
public final class CallerCharge {

  /** What the bytes are held for. */
  public enum Use {
    /** The connection itself. */
    CONNECTION,
    /** A head, a chunk header or trailers that the decoder has not emitted. */
    DECODER,
    /** The head and the body of the request that is read. */
    INCOMING,
    /** Pipelined requests, whole or in part. */
    PIPELINED,
    /** The request that is queued or runs. */
    RUNNING,
    /** The head of a response on its way from the replica, and its trailers while they arrive. */
    RESPONSE_FIELDS,
    /** The body of a response on its way from the replica. */
    BUFFERED_RESPONSE,
    /** A response that was written and not sent. */
    UNSENT_RESPONSE
  }

  private static final int USES = Use.values().length;

  /** The time for a byte at 1,024 bytes a second, the least rate of a caller. */
  private static final long NANOS_PER_BYTE = TimeUnit.SECONDS.toNanos(1) / 1_024;

  private final CallerMemoryBudget budget;
  private final ChargedConnection connection;
  private final long[] bytes = new long[USES];

  /** The position in the list of the budget; -1 after the close. */
  private int index;

  private long begunNanos;
  private long progressNanos;
  private long pausedSinceNanos;
  private boolean paused;
  private Runnable endResponse = () -> {};
  private long responseNanos;
  private long remainingResponseBytes;
  private long readNanos;

  CallerCharge(
      CallerMemoryBudget budget, ChargedConnection connection, int index, long openedNanos) {
    this.budget = budget;
    this.connection = connection;
    this.index = index;
    this.progressNanos = openedNanos;
  }

  /** Returns the connection that the bytes are held for. */
  public ChargedConnection connection() {
    return connection;
  }

  /** Returns the bytes held for one use. */
  public long get(Use use) {
    return bytes[use.ordinal()];
  }

  /** Sets the bytes held for one use, whether or not they fit into the budget. */
  public void set(Use use, long held) {
    if (closed()) {
      return;
    }
    int slot = use.ordinal();
    budget.add(held - bytes[slot]);
    bytes[slot] = held;
  }

  /** Moves the charge of a request that is complete. */
  public void onRequestComplete() {
    long held = get(Use.INCOMING);
    set(Use.INCOMING, 0);
    set(Use.RUNNING, held);
  }

  /** Returns the bytes of requests that are not complete. */
  public long incompleteBytes() {
    return get(Use.DECODER) + get(Use.INCOMING) + get(Use.PIPELINED);
  }

  /** Returns all bytes held for the connection. */
  public long heldBytes() {
    long sum = 0;
    for (long held : bytes) {
      sum += held;
    }
    return sum;
  }

  /**
   * Records that bytes of a request have arrived; to be called before they are charged. Each byte
   * makes up for the time that it may take at the least rate of a caller, so that a byte now and
   * then is no progress, whatever arrived at first.
   */
  public void onProgress(long nowNanos, long arrivedBytes) {
    if (incompleteBytes() == 0) {
      begunNanos = nowNanos;
      progressNanos = nowNanos;
      return;
    }
    long missedNanos = nowNanos - progressNanos;
    // More bytes than this would make up for any time, and overflow the product.
    long counted = Math.min(arrivedBytes, CallerMemoryBudget.LARGE_BYTES);
    progressNanos += Math.min(missedNanos, counted * NANOS_PER_BYTE);
  }

  /** Records that the router does not read from the caller for now. */
  public void onPaused(long nowNanos) {
    paused = true;
    pausedSinceNanos = nowNanos;
  }

  /** Records that the router reads from the caller again. */
  public void onResumed(long nowNanos) {
    if (paused) {
      paused = false;
      progressNanos += nowNanos - pausedSinceNanos;
    }
  }

  /**
   * Sets the bytes of a response that were written and not sent.
   *
   * @param held the bytes held until their buffers are sent
   * @param remaining the bytes that the caller has still to read
   */
  public void setUnsent(long held, long remaining, long nowNanos) {
    if (remaining != remainingResponseBytes) {
      remainingResponseBytes = remaining;
      readNanos = nowNanos;
    }
    set(Use.UNSENT_RESPONSE, held);
  }

  /** Releases the bytes of requests that are not complete. */
  public void releaseIncomplete() {
    set(Use.DECODER, 0);
    set(Use.INCOMING, 0);
    set(Use.PIPELINED, 0);
  }

  /** Returns the bytes of a response on its way from the replica. */
  public long responseBytes() {
    return get(Use.RESPONSE_FIELDS) + get(Use.BUFFERED_RESPONSE);
  }

  /** Records that bytes of a response have arrived from the replica. */
  void onResponseProgress(long nowNanos) {
    responseNanos = nowNanos;
  }

  /** Sets what ends the response on its way from the replica if others need its memory. */
  public void onMemoryNeeded(Runnable action) {
    endResponse = action;
  }

  /** Ends the response on its way from the replica, and releases its bytes. */
  public void endResponse() {
    endResponse.run();
    releaseResponse();
  }

  /** Releases the bytes of a response on its way from the replica. */
  public void releaseResponse() {
    set(Use.RESPONSE_FIELDS, 0);
    set(Use.BUFFERED_RESPONSE, 0);
  }

  /** Releases all bytes, as the connection is closed; further calls have no effect. */
  public void close() {
    if (closed()) {
      return;
    }
    for (Use use : CallerMemoryBudget.USES) {
      set(use, 0);
    }
    budget.remove(this);
    index = -1;
  }

  /** Returns whether the connection is closed. */
  public boolean closed() {
    return index < 0;
  }

  int index() {
    return index;
  }

  void moveTo(int newIndex) {
    index = newIndex;
  }

  long begunNanos() {
    return begunNanos;
  }

  /** Returns how long the caller has not made progress with its request. */
  long stalledNanos(long nowNanos) {
    return (paused ? pausedSinceNanos : nowNanos) - progressNanos;
  }

  /** Returns how long no bytes of the response have arrived from the replica. */
  long responseStalledNanos(long nowNanos) {
    return nowNanos - responseNanos;
  }

  /** Returns how long the caller has read nothing of the response that waits for it, or 0. */
  long unreadNanos(long nowNanos) {
    return remainingResponseBytes > 0 ? nowNanos - readNanos : 0;
  }
}
