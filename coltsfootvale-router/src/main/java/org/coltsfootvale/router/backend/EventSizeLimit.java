package org.coltsfootvale.router.backend;

import java.io.IOException;
import java.util.function.LongSupplier;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Okio;
import okio.Source;

/** Ends a stream that sends bytes without completing an event, which its reader would all keep. */
final class EventSizeLimit extends ForwardingSource {

  /** The maximum number of bytes, comments included, without the end of an event. */
  static final long INCOMPLETE_EVENT_BYTES_MAX = 1024 * 1024;

  private final LongSupplier eventsRead;
  private long events;
  private long bytes;

  private EventSizeLimit(Source source, LongSupplier eventsRead) {
    super(source);
    this.eventsRead = eventsRead;
  }

  /**
   * Returns a response whose events are bounded.
   *
   * @param eventsRead returns the number of events that have been read from it
   */
  static Response apply(Response response, LongSupplier eventsRead) {
    ResponseBody body = response.body();
    Source bounded = new EventSizeLimit(body.source(), eventsRead);
    return response
        .newBuilder()
        .body(ResponseBody.create(Okio.buffer(bounded), body.contentType(), body.contentLength()))
        .build();
  }

  @Override
  public long read(Buffer sink, long byteCount) throws IOException {
    long read = super.read(sink, byteCount);
    long latest = eventsRead.getAsLong();
    if (latest != events) {
      events = latest;
      bytes = 0;
    }
    bytes += Math.max(0, read);
    if (bytes > INCOMPLETE_EVENT_BYTES_MAX) {
      throw new IOException("an event exceeds " + INCOMPLETE_EVENT_BYTES_MAX + " bytes");
    }
    return read;
  }
}
