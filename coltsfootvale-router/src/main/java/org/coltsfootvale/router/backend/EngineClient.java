package org.coltsfootvale.router.backend;

import java.net.URI;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Sends chats to engines. Thread-safe; {@link #run} blocks the calling thread. */
public interface EngineClient {

  /**
   * Sends or resumes a chat and passes each of its chunks to the consumer once and in order.
   * Returns when the answer is complete.
   *
   * @throws AttemptFailedException if the answer is not complete; an exception of the consumer ends
   *     the attempt and is propagated
   */
  void run(EngineRequest request, SendGate gate, ChunkConsumer consumer);

  /** Cancels an attempt at an engine, without waiting for the result. */
  void cancel(URI engine, String attemptId);

  /** Consumes the chunks of an answer; may block, which applies back-pressure. */
  @FunctionalInterface
  interface ChunkConsumer {

    /**
     * Consumes a chunk.
     *
     * @param chunk the parsed chunk
     * @param json the chunk's JSON as the engine sent it
     */
    void accept(EngineChunk chunk, String json);
  }

  /**
   * One attempt at an engine.
   *
   * @param engine the engine's base address
   * @param attemptId the id that the engine echoes
   * @param body the request in JSON, streamed
   * @param chat the chat's id, unique across organisations
   * @param priority the priority; 0 is the highest
   * @param deadline the time by which the answer must be complete
   * @param chunksReceived the number of chunks that have already arrived
   * @param resume whether the attempt resumes one that the engine has accepted before
   * @param outstandingRequestsMax the maximum number of outstanding requests, this one included, up
   *     to which the engine accepts it; {@code Integer.MAX_VALUE} leaves the limit to the engine
   * @param importFrom the engine from which the chat's cache is imported, or null
   * @param idempotencyKey the caller's key, or null
   * @param freshConnection whether to open a new connection instead of reusing one
   */
  @SuppressWarnings("ArrayRecordComponent")
  record EngineRequest(
      URI engine,
      String attemptId,
      byte[] body,
      String chat,
      int priority,
      Instant deadline,
      int chunksReceived,
      boolean resume,
      int outstandingRequestsMax,
      @Nullable URI importFrom,
      @Nullable String idempotencyKey,
      boolean freshConnection) {}
}
