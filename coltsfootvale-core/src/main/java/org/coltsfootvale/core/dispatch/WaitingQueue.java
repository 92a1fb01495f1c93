package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The queued requests of a service, the most urgent first. Keeps what is needed to tell without a
 * scan that no queued request can be placed or has reached the end of its waiting time. Confined to
 * one thread.
 */
final class WaitingQueue {

  private static final Comparator<DispatchRequest> ORDER =
      Comparator.comparingInt(DispatchRequest::urgency)
          .thenComparingLong(request -> request.arrivedNanos() + request.latencyGoalNanos());

  private final ToLongFunction<DispatchRequest> waitEndNanos;
  private final List<DispatchRequest> requests = new ArrayList<>();
  private int prompts;
  private long earliestEndNanos = Long.MAX_VALUE;

  /**
   * Creates an empty queue.
   *
   * @param waitEndNanos returns the end of a request's waiting time, which must not change
   */
  WaitingQueue(ToLongFunction<DispatchRequest> waitEndNanos) {
    this.waitEndNanos = waitEndNanos;
  }

  int size() {
    return requests.size();
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Returns the number of queued requests with a prompt. */
  int prompts() {
    return prompts;
  }

  /** Returns the number of queued requests without a prompt. */
  int others() {
    return requests.size() - prompts;
  }

  /** Adds a request behind those of the same order, and returns its position. */
  int add(DispatchRequest request) {
    int position = requests.size();
    while (position > 0 && ORDER.compare(request, requests.get(position - 1)) < 0) {
      position--;
    }
    requests.add(position, request);
    prompts += promptCount(request);
    earliestEndNanos = Math.min(earliestEndNanos, waitEndNanos.applyAsLong(request));
    return position;
  }

  /** Removes a request; returns whether it was queued. */
  boolean remove(DispatchRequest request) {
    boolean removed = requests.remove(request);
    if (removed) {
      prompts -= promptCount(request);
    }
    return removed;
  }

  /** Removes and returns the least urgent request. */
  DispatchRequest removeLast() {
    DispatchRequest last = requests.remove(requests.size() - 1);
    prompts -= promptCount(last);
    return last;
  }

  /** Returns the queued requests in order, unaffected by later changes. */
  List<DispatchRequest> copy() {
    return new ArrayList<>(requests);
  }

  /**
   * Returns a time before which no waiting time ends. It may be too early after a removal, until
   * {@link #updateEarliestEnd} is called.
   */
  long earliestEndNanos() {
    return earliestEndNanos;
  }

  /** Determines the earliest end of a waiting time from all queued requests. */
  void updateEarliestEnd() {
    long earliest = Long.MAX_VALUE;
    for (int i = 0; i < requests.size(); i++) {
      earliest = Math.min(earliest, waitEndNanos.applyAsLong(requests.get(i)));
    }
    earliestEndNanos = earliest;
  }

  private static int promptCount(DispatchRequest request) {
    return request.description().prompt().isEmpty() ? 0 : 1;
  }
}
