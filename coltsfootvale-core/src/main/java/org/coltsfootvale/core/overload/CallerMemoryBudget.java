package org.coltsfootvale.core.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes held for all callers together, and chooses which connection has to give way when
 * a charge does not fit. The limits of single requests do not bound their sum: 64 bodies of legal
 * size exceed the heap of a router. Not thread-safe.
 */
public final class CallerMemoryBudget {

  /** The charge of an open connection: its channel, handlers and decoder. */
  public static final long CONNECTION_BYTES = 8 * 1024;

  /** The charge of a decoded HTTP object, and of a header field. */
  public static final long OBJECT_BYTES = 160;

  /** A part of the capacity is kept from larger requests and responses. */
  public static final long LARGE_BYTES = 64 * 1024;

  /** Requests up to this size, and new connections, are admitted to the whole capacity. */
  private static final long SMALL_REQUEST_BYTES = 16 * 1024;

  /**
   * Responses up to this size are not ended for others, and heads of responses up to it are part of
   * the charge of a connection.
   */
  public static final long SMALL_BYTES = 4 * 1024;

  /** A shorter time without progress is common on a busy network or host. */
  private static final long STALLED_NANOS = Duration.ofMillis(500).toNanos();

  private static final int HEAP_PERCENT = 40;
  private static final int HOST_MEMORY_DIVISOR = 4;
  private static final int BODIES_MIN = 4;

  static final CallerCharge.Use[] USES = CallerCharge.Use.values();

  private final LongSupplier nanoTime;
  private final OptionalLong override;
  private final long computedBytes;
  private final long minimumBytesMax;
  private final List<CallerCharge> charges = new ArrayList<>();
  private long capacity;
  private long heldBytes;

  private CallerMemoryBudget(
      long maxHeapBytes,
      OptionalLong hostMemoryBytes,
      OptionalLong override,
      long bodyBytesMax,
      LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.override = override;
    this.computedBytes =
        Math.min(
            maxHeapBytes * HEAP_PERCENT / 100,
            hostMemoryBytes.orElse(Long.MAX_VALUE) / HOST_MEMORY_DIVISOR);
    this.minimumBytesMax = maxHeapBytes / 2;
    setBodyBytesMax(bodyBytesMax);
  }

  /**
   * Creates an empty budget.
   *
   * @param maxHeapBytes the maximum size of the heap
   * @param hostMemoryBytes the memory of the host, if known
   * @param override the capacity that the operator has set, if any
   * @param bodyBytesMax the maximum size of a request body
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public static CallerMemoryBudget create(
      long maxHeapBytes,
      OptionalLong hostMemoryBytes,
      OptionalLong override,
      long bodyBytesMax,
      LongSupplier nanoTime) {
    return new CallerMemoryBudget(maxHeapBytes, hostMemoryBytes, override, bodyBytesMax, nanoTime);
  }

  /** Adapts the minimum of the capacity to the maximum size of a request body. */
  public void setBodyBytesMax(long bodyBytesMax) {
    long minimum = Math.min(BODIES_MIN * bodyBytesMax, minimumBytesMax);
    capacity = override.orElse(Math.max(computedBytes, minimum));
  }

  /** Returns the number of bytes that may be held. */
  public long capacity() {
    return capacity;
  }

  /** Returns the number of bytes held. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the charges of the open connections; not to be kept. */
  public List<CallerCharge> charges() {
    return charges;
  }

  /** Opens the charge of a connection, which holds nothing yet. */
  public CallerCharge open(ChargedConnection connection) {
    CallerCharge charge = new CallerCharge(this, connection, charges.size(), nanoTime.getAsLong());
    charges.add(charge);
    return charge;
  }

  /**
   * Returns whether more bytes of an incomplete request fit. A quarter of the capacity is kept from
   * large requests, and an eighth from all but small ones.
   */
  public boolean requestFits(CallerCharge charge, long moreBytes) {
    long requestBytes = charge.incompleteBytes() + moreBytes;
    return heldBytes + moreBytes <= capacityForRequest(requestBytes);
  }

  private long capacityForRequest(long requestBytes) {
    if (requestBytes > LARGE_BYTES) {
      return capacity / 4 * 3;
    }
    return requestBytes > SMALL_REQUEST_BYTES ? capacity / 8 * 7 : capacity;
  }

  /**
   * Returns whether more bytes of a response fit. An eighth of the capacity is kept for others, as
   * large responses that wait for each other would leave no room for a small one.
   */
  public boolean responseFits(CallerCharge charge, long moreBytes) {
    long response = charge.responseBytes() + charge.get(CallerCharge.Use.UNSENT_RESPONSE);
    boolean large = response + moreBytes > LARGE_BYTES;
    return heldBytes + moreBytes <= (large ? capacity / 8 * 7 : capacity);
  }

  /**
   * Returns the incomplete request that has wasted most while its caller makes no progress, or null
   * if none stands still.
   *
   * @param requesting the charge that is to grow
   * @param moreBytes the bytes that are to be added to it
   */
  public @Nullable CallerCharge stalledRequest(CallerCharge requesting, long moreBytes) {
    long now = nanoTime.getAsLong();
    CallerCharge stalled = null;
    double stalledWeight = 0;
    for (int i = 0; i < charges.size(); i++) {
      CallerCharge charge = charges.get(i);
      long held = incompleteBytes(charge, requesting, moreBytes);
      long quietNanos = charge.stalledNanos(now);
      double weight = (double) held * quietNanos;
      // Behind a running request, small pipelined ones wait for the router, not for their caller.
      boolean waitsForRouter = held <= LARGE_BYTES && charge.get(CallerCharge.Use.RUNNING) > 0;
      if (!waitsForRouter && quietNanos >= STALLED_NANOS && weight > stalledWeight) {
        stalled = charge;
        stalledWeight = weight;
      }
    }
    return stalled;
  }

  /**
   * Returns the large incomplete request that began last, so that the earliest are finished; it may
   * be the requesting one. Returns null if none is large.
   *
   * @param requesting the charge that is to grow
   * @param moreBytes the bytes that are to be added to it
   */
  public @Nullable CallerCharge latestRequest(CallerCharge requesting, long moreBytes) {
    CallerCharge latest = null;
    for (int i = 0; i < charges.size(); i++) {
      CallerCharge charge = charges.get(i);
      boolean large = incompleteBytes(charge, requesting, moreBytes) > LARGE_BYTES;
      if (large && (latest == null || charge.begunNanos() - latest.begunNanos() > 0)) {
        latest = charge;
      }
    }
    return latest;
  }

  private static long incompleteBytes(
      CallerCharge charge, CallerCharge requesting, long moreBytes) {
    return charge.incompleteBytes() + (charge == requesting ? moreBytes : 0);
  }

  /**
   * Returns the connection whose caller has read nothing for longest while a response waits for it,
   * or null if none has been waiting for long enough.
   */
  public @Nullable CallerCharge unreadToClose() {
    long now = nanoTime.getAsLong();
    CallerCharge longest = null;
    long longestNanos = STALLED_NANOS - 1;
    for (int i = 0; i < charges.size(); i++) {
      CallerCharge charge = charges.get(i);
      long unreadNanos = charge.unreadNanos(now);
      if (unreadNanos > longestNanos) {
        longest = charge;
        longestNanos = unreadNanos;
      }
    }
    return longest;
  }

  /** Records that bytes of a response have arrived from its replica. */
  public void onResponseProgress(CallerCharge charge) {
    charge.onResponseProgress(nanoTime.getAsLong());
  }

  /**
   * Returns the response that has wasted most while no bytes of it arrive, or null if none stands
   * still: its replica is silent, or it waits for room that others like it occupy.
   *
   * @param requesting the charge that is to grow
   */
  public @Nullable CallerCharge stalledResponse(CallerCharge requesting) {
    long now = nanoTime.getAsLong();
    CallerCharge stalled = null;
    double stalledWeight = 0;
    for (int i = 0; i < charges.size(); i++) {
      CallerCharge charge = charges.get(i);
      long held = charge.responseBytes();
      long quietNanos = charge.responseStalledNanos(now);
      double weight = (double) held * quietNanos;
      if (charge != requesting
          && held > SMALL_BYTES
          && quietNanos >= STALLED_NANOS
          && weight > stalledWeight) {
        stalled = charge;
        stalledWeight = weight;
      }
    }
    return stalled;
  }

  void add(long bytes) {
    heldBytes += bytes;
  }

  void remove(CallerCharge charge) {
    CallerCharge last = charges.remove(charges.size() - 1);
    if (last != charge) {
      charges.set(charge.index(), last);
      last.moveTo(charge.index());
    }
  }
}
