package org.coltsfootvale.router.backend;

import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.jspecify.annotations.Nullable;

/** Checks that the chunks of an attempt belong to its request, in order and without gaps. */
final class ChunkSequence {

  private final String attemptId;
  private final BackendMetrics metrics;
  private int nextIndex;

  ChunkSequence(String attemptId, int chunksReceived, BackendMetrics metrics) {
    this.attemptId = attemptId;
    this.nextIndex = chunksReceived;
    this.metrics = metrics;
  }

  /**
   * Returns whether a chunk is the next of this answer. Chunks of another request and duplicates
   * are counted and must be dropped.
   *
   * @throws AttemptFailedException PARTIAL if chunks are missing before this one
   */
  boolean accept(EngineChunk chunk) {
    if (chunk.id() != null && !chunk.id().equals(attemptId)) {
      metrics.misdirectedChunkDropped();
      return false;
    }
    @Nullable Integer index = chunk.index();
    if (index != null && index < nextIndex) {
      metrics.duplicateChunkDropped();
      return false;
    }
    if (index != null && index > nextIndex) {
      throw new AttemptFailedException(
          Stage.PARTIAL,
          ErrorKind.BACKEND_FAILED,
          "chunk " + nextIndex + " of the engine's answer is missing",
          null);
    }
    nextIndex++;
    return true;
  }
}
