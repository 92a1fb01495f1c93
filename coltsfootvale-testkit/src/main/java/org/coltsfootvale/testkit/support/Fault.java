package org.coltsfootvale.testkit.support;

/** A fault that strikes a stated number of the requests to come. */
public enum Fault {
  /** The request takes effect, then the connection is closed without an answer. */
  REPLY_LOST("replyLost"),
  /** The connection takes requests and answers none, for good. */
  SILENT("silent"),
  /** A stream that has begun goes silent on an open connection. */
  SILENT_STREAM("silentStream"),
  /** A stream ends half-way without its end marker. */
  TRUNCATED("truncated"),
  /** The answer comes after an additional delay. */
  LATE("late"),
  /** The answer belongs to another request. */
  CROSSED("crossed"),
  /** The request is refused and does not run. */
  REFUSE("refuse");

  private final String field;

  Fault(String field) {
    this.field = field;
  }

  /** Returns the name of the fault's field in {@code POST /faults}. */
  public String field() {
    return field;
  }
}
