package org.coltsfootvale.core.course;

import java.util.Optional;

/** The request that an answer on a connection belongs to, as far as its head shows. */
public enum AnswerOwner {
  /** The request that awaits an answer on the connection. */
  THIS_REQUEST,
  /** Another request; the answer is skipped. */
  OTHER_REQUEST,
  /** Cannot be determined; the answer states nothing, and all that follows it is suspect. */
  UNKNOWN;

  /**
   * Determines the owner of an answer. Replicas return the id of the request; an answer without one
   * may be a part of an earlier answer unless the connection has carried nothing else.
   *
   * @param requestId the id of the request that awaits an answer, empty if it has none
   * @param answerId the id that the answer bears
   * @param soleRequest whether the connection has carried no other request and no other answer
   */
  public static AnswerOwner of(String requestId, Optional<String> answerId, boolean soleRequest) {
    if (answerId.isPresent()) {
      return answerId.get().equals(requestId) ? THIS_REQUEST : OTHER_REQUEST;
    }
    return soleRequest ? THIS_REQUEST : UNKNOWN;
  }
}
