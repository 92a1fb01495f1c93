package org.coltsfootvale.router.serving;

import org.coltsfootvale.core.overload.CallerCharge;
import org.coltsfootvale.router.http.ReplicaConnection;
import org.jspecify.annotations.Nullable;

/**
 * The memory of one response on its way to the caller. Pauses the connection of the replica while
 * the caller reads slowly, or while the response does not fit into the memory for callers.
 */
final class AnswerRoom {

  private final CallerMemory memory;
  private final CallerCharge charge;
  private @Nullable ReplicaConnection link;
  private @Nullable AnswerBody waiting;
  private boolean callerReads = true;
  private int wantedBytes;

  AnswerRoom(CallerMemory memory, CallerCharge charge) {
    this.memory = memory;
    this.charge = charge;
  }

  /** Sets the connection that the response is read from. */
  void setLink(ReplicaConnection reading) {
    link = reading;
  }

  /** Sets what ends the response, as if it had been lost, if others need its memory. */
  void onMemoryNeeded(Runnable endResponse) {
    charge.onMemoryNeeded(endResponse);
  }

  /**
   * Charges a buffer, and returns the capacity that it may have now.
   *
   * @param needed the bytes that have been read already
   * @param wanted the capacity that the buffer is to have
   * @param body is enlarged to the wanted capacity once there is room for it
   */
  int admit(int needed, int wanted, AnswerBody body) {
    if (waiting == null && memory.admitResponse(charge, wanted)) {
      return wanted;
    }
    charge.set(CallerCharge.Use.BUFFERED_RESPONSE, needed);
    wantedBytes = Math.max(wanted, needed);
    if (waiting == null) {
      waiting = body;
      memory.await(this);
      updateReading();
    }
    return needed;
  }

  /** Records that bytes of the response have arrived. */
  void onProgress() {
    memory.onResponseProgress(charge);
  }

  /** Charges the head and the trailers; returns false without a charge if there is no room. */
  boolean admitFields(long bytes) {
    onProgress();
    return memory.admitResponseFields(charge, bytes);
  }

  /** Returns the capacity that the response waits for. */
  int wantedBytes() {
    return wantedBytes;
  }

  /** Returns whether the response waits for room. */
  boolean waiting() {
    return waiting != null;
  }

  /** Resumes the response if there is room for it. */
  boolean tryResume() {
    AnswerBody body = waiting;
    if (body != null) {
      if (!memory.admitResponse(charge, wantedBytes)) {
        return false;
      }
      waiting = null;
      body.onGranted(wantedBytes);
      updateReading();
    }
    return true;
  }

  /** Pauses or resumes the response as its caller reads. */
  void setCallerReads(boolean reads) {
    callerReads = reads;
    updateReading();
  }

  private void updateReading() {
    if (link != null) {
      link.setAutoRead(callerReads && waiting == null);
    }
  }

  /** Frees memory if a failure shows that the heap is exhausted. */
  void checkForOutOfMemory(Throwable cause) {
    memory.checkForOutOfMemory(cause);
  }

  /** Releases the memory; the connection is not touched any more. */
  void end() {
    link = null;
    if (waiting != null) {
      waiting = null;
      memory.forget(this);
    }
    charge.onMemoryNeeded(() -> {});
    charge.releaseResponse();
  }
}
