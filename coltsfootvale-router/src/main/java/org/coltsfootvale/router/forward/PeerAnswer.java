package org.coltsfootvale.router.forward;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.wire.ForwardHead;
import org.coltsfootvale.protocol.wire.Header;
import org.coltsfootvale.router.request.Answer;
import org.coltsfootvale.router.request.ProblemJson;
import org.jspecify.annotations.Nullable;

/** Sends an answer to the peer that forwarded the request, within the peer's credit. */
final class PeerAnswer implements Answer {

  private static final long CREDIT_TIMEOUT_SECONDS = 60;

  private final ForwardResponder responder;
  private final String requestId;
  private volatile boolean cancelled;
  private volatile @Nullable CompletableFuture<Void> pendingCredit;
  private boolean started;

  PeerAnswer(ForwardResponder responder, String requestId) {
    this.responder = responder;
    this.requestId = requestId;
  }

  /** Stops the answer, since the peer has cancelled the request. */
  void cancel() {
    cancelled = true;
    CompletableFuture<Void> waiting = pendingCredit;
    if (waiting != null) {
      waiting.cancel(false);
    }
  }

  @Override
  public boolean started() {
    return started;
  }

  @Override
  public void head(int status, Headers headers) {
    started = true;
    ForwardHead.Builder head = ForwardHead.newBuilder().setStatus(status);
    for (int i = 0; i < headers.size(); i++) {
      head.addHeaders(Header.newBuilder().setName(headers.name(i)).setValue(headers.value(i)));
    }
    responder.head(head.build());
  }

  @Override
  public void body(byte[] data, int length) {
    if (cancelled) {
      throw peerDisconnected(null);
    }
    CompletableFuture<Void> next = responder.body(Arrays.copyOf(data, length));
    pendingCredit = next;
    try {
      next.get(CREDIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException | java.util.concurrent.CancellationException e) {
      throw peerDisconnected(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw peerDisconnected(e);
    }
  }

  private static ColtsfootvaleException peerDisconnected(@Nullable Throwable cause) {
    return new ColtsfootvaleException(
        ErrorKind.CANCELLED, Outcome.UNKNOWN, "the forwarding router went away", null, cause);
  }

  @Override
  public void end() {
    responder.end();
  }

  @Override
  public void fail(ColtsfootvaleException error) {
    if (started) {
      responder.fail(error);
      return;
    }
    byte[] problem = ProblemJson.write(error, requestId);
    head(error.kind().httpStatus(), ProblemJson.headers(error));
    body(problem, problem.length);
    responder.end();
  }
}
