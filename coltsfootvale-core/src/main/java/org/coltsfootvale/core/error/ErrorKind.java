package org.coltsfootvale.core.error;

/** The kinds of error reported to callers and operators, each with its HTTP status and remedy. */
public enum ErrorKind {
  MALFORMED_REQUEST(400, "Correct the request as the detail says and send it again."),
  MALFORMED_KEY(400, "Ask GET /v1/entry for a key prefix and append a counter of your own."),
  INVALID_DEADLINE(400, "Give the deadline in milliseconds from now, between 1 and the maximum."),
  UNAUTHENTICATED(401, "Send your organisation's key as 'Authorization: Bearer <key>'."),
  FORBIDDEN(403, "Use a credential of the organisation that owns this chat, key or token."),
  UNKNOWN_MODEL(404, "Use a model that a release note has added."),
  UNKNOWN_SERVICE(404, "Use a service that a release note has added."),
  UNKNOWN_RESOURCE(404, "Check the path."),
  NOTE_CONFLICT(409, "Read the current state, correct the note and submit it under a new id."),
  KEY_REUSED(409, "Use a new key for a different request."),
  IN_PROGRESS(
      409, "The first request with this key still runs; ask again with the same key later."),
  KEY_EXPIRED(410, "Ask GET /v1/entry for a new key prefix."),
  ANSWER_NOT_KEPT(
      410, "The request has run once and its answer is gone; read the result at the service."),
  BODY_TOO_LARGE(413, "Send a smaller body."),
  INVALID_NOTE(422, "Correct the note as the detail says and submit it again."),
  ORGANISATION_LIMIT(
      429, "Wait as long as Retry-After says, or ask the operator for a higher limit."),
  OVERLOADED(503, "Wait as long as Retry-After says and send the request again."),
  NO_BACKEND(503, "Wait as long as Retry-After says; the operator finds the cause in /state."),
  NOT_READY(503, "Use another address of GET /v1/entry."),
  SHUTTING_DOWN(503, "Ask GET /v1/entry again and use another address."),
  PLATFORM_UNAVAILABLE(503, "Wait as long as Retry-After says; the platform's service is down."),
  BACKEND_FAILED(502, "Send the request again if it may be repeated."),
  HOME_LOST(502, "Find out at the service whether the request ran; do not send it again blindly."),
  DEADLINE_EXCEEDED(504, "Send the request again with a longer deadline if it may be repeated."),
  CANCELLED(499, "The caller went away."),
  INTERNAL(500, "Report the request id to the operator.");

  private final int httpStatus;
  private final String remedy;

  ErrorKind(int httpStatus, String remedy) {
    this.httpStatus = httpStatus;
    this.remedy = remedy;
  }

  /** Returns the HTTP status of this kind. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the action that resolves the error. */
  public String remedy() {
    return remedy;
  }
}
