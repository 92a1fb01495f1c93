package org.coltsfootvale.router.request;

import java.io.ByteArrayOutputStream;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.once.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Passes an answer on and keeps a copy for repeated callers. A caller that goes away does not end
 * the answer, for the same caller may ask for it again with the same key.
 */
final class RecordingAnswer implements Answer {

  private final Answer target;
  private final int bytesMax;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private @Nullable Headers headers;
  private boolean tooLarge;
  private boolean targetGone;

  RecordingAnswer(Answer target, int bytesMax) {
    this.target = target;
    this.bytesMax = bytesMax;
  }

  @Override
  public boolean begun() {
    return headers != null;
  }

  @Override
  public void head(int answerStatus, Headers answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
    pass(() -> target.head(answerStatus, answerHeaders));
  }

  @Override
  public void body(byte[] data, int length) {
    if (body.size() + length > bytesMax) {
      tooLarge = true;
    } else {
      body.write(data, 0, length);
    }
    pass(() -> target.body(data, length));
  }

  @Override
  public void end() {
    pass(target::end);
  }

  @Override
  public void fail(ColtsfootvaleException error) {
    pass(() -> target.fail(error));
  }

  private void pass(Runnable action) {
    if (targetGone) {
      return;
    }
    try {
      action.run();
    } catch (ColtsfootvaleException e) {
      if (e.kind() != ErrorKind.CANCELLED) {
        throw e;
      }
      targetGone = true;
    }
  }

  /** Returns the copy, or null if it is too large to keep. */
  @Nullable StoredAnswer stored() {
    if (tooLarge || headers == null) {
      return null;
    }
    return new StoredAnswer(status, headers.toMultimap(), body.toByteArray());
  }
}
