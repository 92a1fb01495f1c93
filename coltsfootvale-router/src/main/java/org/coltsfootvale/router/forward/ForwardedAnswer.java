package org.coltsfootvale.router.forward;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.protocol.ForwardListener;
import org.coltsfootvale.protocol.ForwardStream;
import org.coltsfootvale.protocol.wire.ForwardHead;
import org.coltsfootvale.protocol.wire.Header;
import org.coltsfootvale.router.request.Answer;
import org.coltsfootvale.router.request.Outcomes;
import org.jspecify.annotations.Nullable;

/**
 * Hands the answer to a forwarded request over from the transport's threads to the caller's thread.
 * The credit granted to the peer bounds the queue between them.
 */
final class ForwardedAnswer implements ForwardListener {

  private static final long GRACE_MILLIS = 1_000;

  private final BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
  private @Nullable ForwardStream stream;

  /** A part of the answer. */
  private sealed interface Part {}

  private record Head(ForwardHead head) implements Part {}

  @SuppressWarnings("ArrayRecordComponent")
  private record Body(byte[] data) implements Part {}

  private record End() implements Part {}

  private record Failed(ColtsfootvaleException error) implements Part {}

  @Override
  public void onHead(ForwardHead head) {
    parts.add(new Head(head));
  }

  @Override
  public void onBody(byte[] data) {
    parts.add(new Body(data));
  }

  @Override
  public void onEnd() {
    parts.add(new End());
  }

  @Override
  public void onFailure(ColtsfootvaleException error) {
    parts.add(new Failed(error));
  }

  /** Sets the stream on which credit is granted. */
  void stream(ForwardStream forwardStream) {
    stream = forwardStream;
  }

  /** Copies all parts to an answer; returns when it is complete. */
  void copyTo(Answer answer, long deadlineMillis) {
    long endNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + GRACE_MILLIS);
    boolean ended = false;
    try {
      while (!ended) {
        ended = copyPart(awaitPart(endNanos), answer);
      }
    } finally {
      if (!ended && stream != null) {
        stream.cancel();
      }
    }
  }

  private Part awaitPart(long endNanos) {
    try {
      @Nullable Part part = parts.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      if (part == null) {
        throw ColtsfootvaleException.outcomeUnknown(
            ErrorKind.DEADLINE_EXCEEDED, "the key's home did not answer within the deadline");
      }
      return part;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.CANCELLED, "the router is being stopped");
    }
  }

  private boolean copyPart(Part part, Answer answer) {
    if (part instanceof Head head) {
      answer.head(head.head().getStatus(), headers(head.head()));
    } else if (part instanceof Body body) {
      answer.body(body.data(), body.data().length);
      grantCredit(body.data().length);
    } else if (part instanceof Failed failed) {
      // The home reports its own refusals as answers. A failure of the forwarding does not exclude
      // that the home has run an earlier request with this key.
      throw Outcomes.withUnknownOutcome(failed.error());
    } else {
      answer.end();
      return true;
    }
    return false;
  }

  private void grantCredit(int bytes) {
    if (stream != null) {
      stream.grant(bytes);
    }
  }

  private static Headers headers(ForwardHead head) {
    Headers.Builder headers = new Headers.Builder();
    for (Header header : head.getHeadersList()) {
      headers.addUnsafeNonAscii(header.getName(), header.getValue());
    }
    return headers.build();
  }
}
