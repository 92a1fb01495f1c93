package org.coltsfootvale.protocol;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Records the answer to a forwarded request. */
final class RecordingForwardListener implements ForwardListener {

  final CompletableFuture<byte[]> completeBody = new CompletableFuture<>();
  final CompletableFuture<ForwardHead> head = new CompletableFuture<>();
  final Semaphore bodyParts = new Semaphore(0);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  @Override
  public void onHead(ForwardHead received) {
    head.complete(received);
  }

  @Override
  public void onBody(byte[] data) {
    body.writeBytes(data);
    bodyParts.release();
  }

  @Override
  public void onEnd() {
    complete(() -> completeBody.complete(body.toByteArray()));
  }

  @Override
  public void onFailure(ColtsfootvaleException error) {
    complete(() -> completeBody.completeExceptionally(error));
  }

  private void complete(Runnable completion) {
    if (completeBody.isDone()) {
      throw new IllegalStateException("a terminal method was called twice");
    }
    completion.run();
  }
}
