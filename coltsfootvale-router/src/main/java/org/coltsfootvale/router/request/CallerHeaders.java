package org.coltsfootvale.router.request;

/** The headers between callers and routers. */
public final class CallerHeaders {

  /** The idempotency key, under which a request runs at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Marks a request that must not be repeated. */
  public static final String NO_REPEAT = "Coltsfootvale-No-Repeat";

  /** The deadline of the request, in milliseconds from its arrival. */
  public static final String DEADLINE_MILLIS = "Coltsfootvale-Deadline-Millis";

  /** The priority class. */
  public static final String REQUEST_CLASS = "Coltsfootvale-Class";

  /** The chat's id. */
  public static final String CHAT = "Coltsfootvale-Chat";

  /** The continuation token of the chat's last answer. */
  public static final String CONTINUATION = "Coltsfootvale-Continuation";

  /** The id of the request, on every answer. */
  public static final String REQUEST_ID = "Coltsfootvale-Request-Id";

  /** A key prefix whose home is the router that answers, on every answer. */
  public static final String KEY_PREFIX = "Coltsfootvale-Key-Prefix";

  /** Requests that the caller query the entry addresses again; sent while the router drains. */
  public static final String ASK_AGAIN = "Coltsfootvale-Ask-Again";

  private CallerHeaders() {}
}
