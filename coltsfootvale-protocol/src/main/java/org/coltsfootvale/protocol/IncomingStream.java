package org.coltsfootvale.protocol;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardBody;
import org.coltsfootvale.protocol.wire.ForwardEnd;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** The answer to a request forwarded by a peer, sent under credit-based flow control. */
final class IncomingStream implements ForwardResponder {

  private static final int BODY_FRAME_BYTES_MAX = 256 * 1024;

  private final long correlation;
  private final Consumer<Envelope> output;
  private final Runnable onEnded;
  private final Object lock = new Object();
  private final List<CompletableFuture<Void>> creditWaiters = new ArrayList<>();
  private final List<Runnable> cancelActions = new ArrayList<>();
  private long creditBytes;
  private boolean ended;
  private boolean cancelled;

  /**
   * Creates a stream.
   *
   * @param correlation the correlation ID chosen by the peer
   * @param creditBytes the initial credit for body bytes
   * @param output sends messages to the peer
   * @param onEnded runs once when the stream has ended
   */
  IncomingStream(long correlation, long creditBytes, Consumer<Envelope> output, Runnable onEnded) {
    this.correlation = correlation;
    this.creditBytes = creditBytes;
    this.output = output;
    this.onEnded = onEnded;
  }

  @Override
  public void head(ForwardHead head) {
    synchronized (lock) {
      if (!ended) {
        output.accept(envelope().setForwardHead(head).build());
      }
    }
  }

  @Override
  public CompletableFuture<Void> body(byte[] data) {
    synchronized (lock) {
      if (ended) {
        return CompletableFuture.failedFuture(endedError());
      }
      for (int from = 0; from < data.length; from += BODY_FRAME_BYTES_MAX) {
        int length = Math.min(BODY_FRAME_BYTES_MAX, data.length - from);
        ForwardBody body =
            ForwardBody.newBuilder().setData(ByteString.copyFrom(data, from, length)).build();
        output.accept(envelope().setForwardBody(body).build());
      }
      creditBytes -= data.length;
      if (creditBytes > 0) {
        return CompletableFuture.completedFuture(null);
      }
      CompletableFuture<Void> creditAvailable = new CompletableFuture<>();
      creditWaiters.add(creditAvailable);
      return creditAvailable;
    }
  }

  @Override
  public void end() {
    finish(envelope().setForwardEnd(ForwardEnd.getDefaultInstance()).build());
  }

  @Override
  public void fail(ColtsfootvaleException error) {
    finish(envelope().setFailure(FailureCodec.encode(error)).build());
  }

  @Override
  public void onCancel(Runnable action) {
    synchronized (lock) {
      if (!cancelled) {
        cancelActions.add(action);
        return;
      }
    }
    action.run();
  }

  /** Adds credit and completes the waiting futures if credit is left. */
  void grant(long bytes) {
    List<CompletableFuture<Void>> resumable;
    synchronized (lock) {
      creditBytes += bytes;
      if (creditBytes <= 0) {
        return;
      }
      resumable = List.copyOf(creditWaiters);
      creditWaiters.clear();
    }
    resumable.forEach(future -> future.complete(null));
  }

  /** Ends the stream after the peer has cancelled it or its connection was lost. */
  void cancel() {
    List<Runnable> actions;
    List<CompletableFuture<Void>> cancelledWaiters;
    synchronized (lock) {
      if (ended) {
        return;
      }
      ended = true;
      cancelled = true;
      actions = List.copyOf(cancelActions);
      cancelledWaiters = List.copyOf(creditWaiters);
      creditWaiters.clear();
    }
    onEnded.run();
    cancelledWaiters.forEach(future -> future.completeExceptionally(endedError()));
    actions.forEach(Runnable::run);
  }

  private void finish(Envelope last) {
    synchronized (lock) {
      if (ended) {
        return;
      }
      ended = true;
      output.accept(last);
    }
    onEnded.run();
  }

  private Envelope.Builder envelope() {
    return Envelope.newBuilder().setCorrelation(correlation);
  }

  private static ColtsfootvaleException endedError() {
    return ColtsfootvaleException.outcomeUnknown(ErrorKind.CANCELLED, "The stream has ended.");
  }
}
