package org.coltsfootvale.router.request;

import org.coltsfootvale.router.backend.EngineChunk;

/** Converts an engine's chunks into the caller's answer. */
interface ChatOutput {

  /**
   * Adds the next chunk.
   *
   * @param chunk the parsed chunk
   * @param json the chunk's JSON as the engine sent it
   * @param continuation the chat's continuation token, only with the last chunk, else empty
   */
  void chunk(EngineChunk chunk, String json, String continuation);

  /** Ends the answer after all chunks. */
  void end();

  /** Returns whether the answer to the caller has started, which rules out a restart. */
  boolean deliveryStarted();

  /** Discards all chunks added so far; only valid before delivery has started. */
  void reset();
}
