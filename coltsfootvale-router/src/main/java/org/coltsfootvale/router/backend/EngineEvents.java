package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.databind.ObjectReader;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.jspecify.annotations.Nullable;

/** Takes the events of one engine stream on the thread that reads it. */
final class EngineEvents extends EventSourceListener {

  private static final String END_MARKER = "[DONE]";

  private final ObjectReader reader;
  private final ChunkSequence sequence;
  private final CallWatchdog.Watch watch;
  private final long tokenTimeoutMillis;
  private final EngineClient.ChunkConsumer consumer;
  private boolean anyChunk;
  private boolean whole;
  private @Nullable RuntimeException consumerFailure;
  private @Nullable Throwable streamFailure;

  EngineEvents(
      ObjectReader reader,
      ChunkSequence sequence,
      CallWatchdog.Watch watch,
      long tokenTimeoutMillis,
      EngineClient.ChunkConsumer consumer) {
    this.reader = reader;
    this.sequence = sequence;
    this.watch = watch;
    this.tokenTimeoutMillis = tokenTimeoutMillis;
    this.consumer = consumer;
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    watch.activity();
    if (whole) {
      return;
    }
    if (data.equals(END_MARKER)) {
      whole = true;
      return;
    }
    try {
      take(data);
    } catch (RuntimeException e) {
      consumerFailure = e;
      throw e;
    }
  }

  private void take(String data) {
    EngineChunk chunk = OkHttpEngineClient.parse(reader, data);
    if (!sequence.accept(chunk)) {
      return;
    }
    anyChunk = true;
    watch.hold();
    consumer.accept(chunk, data);
    watch.release(tokenTimeoutMillis);
  }

  @Override
  public void onFailure(
      EventSource source, @Nullable Throwable failure, @Nullable Response response) {
    streamFailure = failure;
  }

  /** Tells whether a chunk of this answer has arrived. */
  boolean anyChunk() {
    return anyChunk;
  }

  /** Tells whether the end marker has arrived. */
  boolean whole() {
    return whole;
  }

  /** Returns the exception of the consumer or of the chunk's check, or null. */
  @Nullable RuntimeException consumerFailure() {
    return consumerFailure;
  }

  /** Returns why the stream broke off, or null. */
  @Nullable Throwable streamFailure() {
    return streamFailure;
  }
}
