package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.databind.ObjectReader;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.jspecify.annotations.Nullable;

/**
 * Processes the events of one engine stream on the thread that reads it. Cancels the call if the
 * stream fails.
 */
final class EngineStreamListener extends EventSourceListener {

  private static final String END_MARKER = "[DONE]";

  private final ObjectReader reader;
  private final ChunkSequence sequence;
  private final CallWatchdog.Watch watch;
  private final long tokenTimeoutMillis;
  private final EngineClient.ChunkConsumer consumer;
  private final Runnable cancel;
  private long eventsRead;
  private boolean chunkReceived;
  private boolean complete;
  private @Nullable RuntimeException consumerFailure;
  private @Nullable Throwable streamFailure;

  EngineStreamListener(
      ObjectReader reader,
      ChunkSequence sequence,
      CallWatchdog.Watch watch,
      long tokenTimeoutMillis,
      EngineClient.ChunkConsumer consumer,
      Runnable cancel) {
    this.reader = reader;
    this.sequence = sequence;
    this.watch = watch;
    this.tokenTimeoutMillis = tokenTimeoutMillis;
    this.consumer = consumer;
    this.cancel = cancel;
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    watch.onActivity();
    eventsRead++;
    if (complete) {
      return;
    }
    if (data.equals(END_MARKER)) {
      complete = true;
      return;
    }
    try {
      onChunk(data);
    } catch (RuntimeException e) {
      consumerFailure = e;
      throw e;
    }
  }

  private void onChunk(String data) {
    EngineChunk chunk = OkHttpEngineClient.parse(reader, data);
    if (!sequence.accept(chunk)) {
      return;
    }
    chunkReceived = true;
    watch.suspend();
    consumer.accept(chunk, data);
    watch.resume(tokenTimeoutMillis);
  }

  @Override
  public void onFailure(
      EventSource source, @Nullable Throwable failure, @Nullable Response response) {
    streamFailure = failure;
    // Closing the body instead would read on for up to 100 ms, to reuse the connection.
    cancel.run();
  }

  /** Returns the number of events that have been read. */
  long eventsRead() {
    return eventsRead;
  }

  /** Returns whether a chunk of this answer has arrived. */
  boolean chunkReceived() {
    return chunkReceived;
  }

  /** Returns whether the end marker has arrived. */
  boolean complete() {
    return complete;
  }

  /** Returns the exception that the consumer or the chunk's validation threw, or null. */
  @Nullable RuntimeException consumerFailure() {
    return consumerFailure;
  }

  /** Returns the failure that ended the stream, or null. */
  @Nullable Throwable streamFailure() {
    return streamFailure;
  }
}
