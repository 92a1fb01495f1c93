package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;

/** A request body that records whether it could not be written. */
final class ObservedRequestBody extends RequestBody {

  private final RequestBody body;
  private boolean failed;

  ObservedRequestBody(RequestBody body) {
    this.body = body;
  }

  /** Returns whether writing the body has failed. */
  boolean failed() {
    return failed;
  }

  @Override
  public @Nullable MediaType contentType() {
    return body.contentType();
  }

  @Override
  public long contentLength() throws IOException {
    return body.contentLength();
  }

  @Override
  public boolean isOneShot() {
    return body.isOneShot();
  }

  @Override
  public void writeTo(BufferedSink sink) throws IOException {
    try {
      body.writeTo(sink);
      sink.flush();
    } catch (IOException e) {
      failed = true;
      throw e;
    }
  }
}
