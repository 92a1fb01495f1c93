package org.coltsfootvale.router.backend;

import java.net.URI;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Sends chats to engines. Thread-safe; {@link #run} blocks the calling thread. */
public interface EngineClient {

  /**
   * Sends a chat, or resumes it, and passes the chunks that belong to it on in their order, each
   * once. Returns when the answer is whole.
   *
   * @throws AttemptFailedException if the answer is not whole; an exception of the consumer ends
   *     the attempt and is passed on
   */
  void run(EngineRequest request, SendGate gate, ChunkConsumer consumer);

  /** Tells an engine, without waiting, that an attempt's answer is no longer wanted. */
  void cancel(URI engine, String attemptId);

  /** Takes the chunks of an answer; may block, which holds the engine's stream back. */
  @FunctionalInterface
  interface ChunkConsumer {

    /**
     * Takes a chunk.
     *
     * @param chunk what the router reads of it
     * @param json its text as the engine sent it
     */
    void accept(EngineChunk chunk, String json);
  }

  /**
   * One attempt at an engine.
   *
   * @param engine the engine's base address
   * @param attemptId the id that the engine echoes
   * @param body the request in JSON, streamed
   * @param chat the chat's name, unique over all organisations
   * @param priority the priority, 0 is served first
   * @param deadline the time by which the whole answer is wanted
   * @param chunksReceived how many chunks have arrived already
   * @param resume whether the attempt continues one that the engine has taken on before
   * @param outstandingRequestsMax how many requests, this one included, the engine may have
   *     outstanding to take it on; {@code Integer.MAX_VALUE} to leave that to the engine
   * @param importFrom an engine to import the chat's cache from, or null
   * @param idempotencyKey the caller's key, or null
   * @param freshConnection whether to open a connection instead of reusing one
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
