package org.coltsfootvale.router.backend;

import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.jspecify.annotations.Nullable;

/** Matches the chunks of one attempt to their request and keeps them in order without gaps. */
final class ChunkSequence {

  private final String attemptId;
  private final BackendMetrics metrics;
  private int next;

  ChunkSequence(String attemptId, int chunksReceived, BackendMetrics metrics) {
    this.attemptId = attemptId;
    this.next = chunksReceived;
    this.metrics = metrics;
  }

  /**
   * Tells whether a chunk is the next of this answer. One of another request or one that has
   * arrived before is counted and is to be dropped.
   *
   * @throws AttemptFailedException PARTIAL if chunks are missing before this one
   */
  boolean accept(EngineChunk chunk) {
    if (chunk.id() != null && !chunk.id().equals(attemptId)) {
      metrics.crossedChunk();
      return false;
    }
    @Nullable Integer index = chunk.index();
    if (index != null && index < next) {
      metrics.repeatedChunk();
      return false;
    }
    if (index != null && index > next) {
      throw new AttemptFailedException(
          Stage.PARTIAL,
          ErrorKind.BACKEND_FAILED,
          "chunk " + next + " of the engine's answer is missing",
          null);
    }
    next++;
    return true;
  }
}
