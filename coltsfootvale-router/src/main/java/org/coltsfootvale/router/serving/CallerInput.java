package org.coltsfootvale.router.serving;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.CallerCharge;
import org.jspecify.annotations.Nullable;

/**
 * What is held of a caller's requests apart from the one that is read: the fields in the decoder,
 * and pipelined requests. Charges both.
 */
final class CallerInput {

  /** Maximum number of buffered messages of pipelined requests; reading stops at it. */
  private static final int PIPELINED_MAX = 64;

  private final CallerMemory memory;
  private final CallerCharge charge;
  private final LongSupplier nanoTime;
  private final PipelinedRequests pipelined = new PipelinedRequests();
  private @Nullable CallerRequestDecoder decoder;
  private boolean ended;

  CallerInput(
      CallerMemory memory,
      CallerCharge charge,
      LongSupplier nanoTime,
      CallerRequestDecoder decoder) {
    this.memory = memory;
    this.charge = charge;
    this.nanoTime = nanoTime;
    this.decoder = decoder;
    decoder.setListener(this::onDecoderHolds);
  }

  /** Charges what the decoder holds of a head, a chunk header or trailers. */
  private void onDecoderHolds(long bytes) {
    if (!ended) {
      long more = bytes - charge.get(CallerCharge.Use.DECODER);
      if (more > 0) {
        charge.onProgress(nanoTime.getAsLong(), more);
      }
      memory.admitRequest(charge, CallerCharge.Use.DECODER, bytes);
    }
  }

  /** Returns whether the decoder holds an incomplete element of a request. */
  boolean holdsIncomplete() {
    return charge.get(CallerCharge.Use.DECODER) > 0;
  }

  /** Returns the memory of a decoded object if it is a head, otherwise 0. */
  long headBytes(HttpObject object) {
    return object instanceof HttpRequest && decoder != null ? decoder.headBytes() : 0;
  }

  /** Returns whether the head that was decoded last had both a length and chunks. */
  boolean ambiguousFraming() {
    return decoder != null && decoder.ambiguousFraming();
  }

  /** Queues a part of a pipelined request. */
  void queue(HttpObject object, long headBytes) {
    long before = pipelined.bytes();
    pipelined.add(object, headBytes);
    charge.onProgress(nanoTime.getAsLong(), pipelined.bytes() - before);
    memory.admitRequest(charge, CallerCharge.Use.PIPELINED, pipelined.bytes());
  }

  /** Removes and returns the first queued part, or null if there is none. */
  PipelinedRequests.@Nullable Queued poll() {
    PipelinedRequests.Queued next = pipelined.poll();
    charge.set(CallerCharge.Use.PIPELINED, pipelined.bytes());
    return next;
  }

  /** Returns whether parts of pipelined requests are queued. */
  boolean hasQueued() {
    return !pipelined.isEmpty();
  }

  /** Returns whether no more is to be read until queued parts are processed. */
  boolean full() {
    return pipelined.size() >= PIPELINED_MAX;
  }

  /** Returns whether further bytes of the caller are discarded. */
  boolean ended() {
    return ended;
  }

  /** Frees what is held, and discards what follows. */
  void end(ChannelPipeline pipeline) {
    ended = true;
    pipelined.clear();
    charge.releaseIncomplete();
    if (decoder != null) {
      decoder.removeFrom(pipeline);
      decoder = null;
    }
  }
}
