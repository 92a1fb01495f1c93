package org.coltsfootvale.router.request;

import java.io.ByteArrayOutputStream;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.once.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Passes an answer on and records it for repeated requests. A disconnect of the caller does not end
 * the answer, since the caller may request it again with the same key.
 */
final class RecordingAnswer implements Answer {

  private final Answer target;
  private final int bytesMax;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private @Nullable Headers headers;
  private boolean tooLarge;
  private boolean targetDisconnected;

  RecordingAnswer(Answer target, int bytesMax) {
    this.target = target;
    this.bytesMax = bytesMax;
  }

  @Override
  public boolean started() {
    return headers != null;
  }

  @Override
  public void head(int answerStatus, Headers answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
    passToTarget(() -> target.head(answerStatus, answerHeaders));
  }

  @Override
  public void body(byte[] data, int length) {
    if (body.size() + length > bytesMax) {
      tooLarge = true;
    } else {
      body.write(data, 0, length);
    }
    passToTarget(() -> target.body(data, length));
  }

  @Override
  public void end() {
    passToTarget(target::end);
  }

  @Override
  public void fail(ColtsfootvaleException error) {
    passToTarget(() -> target.fail(error));
  }

  private void passToTarget(Runnable action) {
    if (targetDisconnected) {
      return;
    }
    try {
      action.run();
    } catch (ColtsfootvaleException e) {
      if (e.kind() != ErrorKind.CANCELLED) {
        throw e;
      }
      targetDisconnected = true;
    }
  }

  /** Returns the recorded answer, or null if it has no head or exceeds the size limit. */
  @Nullable StoredAnswer stored() {
    if (tooLarge || headers == null) {
      return null;
    }
    return new StoredAnswer(status, headers.toMultimap(), body.toByteArray());
  }
}
