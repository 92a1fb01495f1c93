package org.coltsfootvale.protocol;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Keeps the answer to a forwarded request. */
final class RecordingForwardListener implements ForwardListener {

  final CompletableFuture<byte[]> whole = new CompletableFuture<>();
  final CompletableFuture<ForwardHead> head = new CompletableFuture<>();
  final Semaphore parts = new Semaphore(0);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  @Override
  public void onHead(ForwardHead received) {
    head.complete(received);
  }

  @Override
  public void onBody(byte[] data) {
    body.writeBytes(data);
    parts.release();
  }

  @Override
  public void onEnd() {
    complete(() -> whole.complete(body.toByteArray()));
  }

  @Override
  public void onFailure(ColtsfootvaleException error) {
    complete(() -> whole.completeExceptionally(error));
  }

  private void complete(Runnable completion) {
    if (whole.isDone()) {
      throw new IllegalStateException("a second final call");
    }
    completion.run();
  }
}
