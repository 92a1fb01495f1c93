package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootvale.core.overload.CallerMemoryBudget;
import org.jspecify.annotations.Nullable;

/** The decoded objects of requests that wait for the end of the previous one. */
final class PipelinedRequests {

  /**
   * An object in the queue.
   *
   * @param object the decoded object
   * @param headBytes the charge of a head, 0 for other objects
   * @param bytes the charge of the object
   */
  record Queued(HttpObject object, long headBytes, long bytes) {}

  private final Deque<Queued> queue = new ArrayDeque<>();
  private long bytes;

  /** Adds an object, which this queue then owns. */
  void add(HttpObject object, long headBytes) {
    HttpObject kept = object;
    long charge = CallerMemoryBudget.OBJECT_BYTES + headBytes;
    if (object instanceof HttpContent content && !(object instanceof HttpRequest)) {
      charge += content.content().readableBytes();
      kept = compact(content);
    }
    bytes += charge;
    queue.addLast(new Queued(kept, headBytes, charge));
  }

  /**
   * Copies the content, as a part of a few bytes would keep its whole read buffer in memory.
   * Trailers are left out, as they are not forwarded.
   */
  private static HttpObject compact(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (last && !content.content().isReadable() && content.decoderResult().isSuccess()) {
      ReferenceCountUtil.release(content);
      return LastHttpContent.EMPTY_LAST_CONTENT;
    }
    ByteBuf bytes = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(content.content()));
    HttpContent copy = last ? new DefaultLastHttpContent(bytes) : new DefaultHttpContent(bytes);
    copy.setDecoderResult(content.decoderResult());
    ReferenceCountUtil.release(content);
    return copy;
  }

  /** Removes and returns the first object, or null if there is none. */
  @Nullable Queued poll() {
    Queued first = queue.pollFirst();
    if (first != null) {
      bytes -= first.bytes();
    }
    return first;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  int size() {
    return queue.size();
  }

  /** Returns the charge of all objects. */
  long bytes() {
    return bytes;
  }

  /** Releases all objects. */
  void clear() {
    queue.forEach(queued -> ReferenceCountUtil.release(queued.object()));
    queue.clear();
    bytes = 0;
  }
}
