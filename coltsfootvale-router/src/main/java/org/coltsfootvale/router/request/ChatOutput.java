package org.coltsfootvale.router.request;

import org.coltsfootvale.router.backend.EngineChunk;

/** Turns an engine's chunks into the caller's answer. */
interface ChatOutput {

  /**
   * Takes the next chunk.
   *
   * @param chunk what the router reads of it
   * @param json its text as the engine sent it
   * @param continuation the chat's continuation token, only with the last chunk, else empty
   */
  void chunk(EngineChunk chunk, String json, String continuation);

  /** Ends the answer: all chunks have been taken. */
  void end();

  /** Tells whether the caller has received a part of the answer, so that it can only be resumed. */
  boolean delivered();

  /** Forgets what was taken; only while nothing is delivered. */
  void restart();
}
