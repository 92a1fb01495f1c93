package org.coltsfootvale.testkit.support;

/** A fault that affects a given number of subsequent requests. */
public enum Fault {
  /** The request is executed, then the connection is closed without an answer. */
  REPLY_LOST("replyLost"),
  /** The connection accepts requests but answers none, permanently. */
  SILENT("silent"),
  /** A started stream sends nothing more, while its connection stays open. */
  SILENT_STREAM("silentStream"),
  /** A stream ends half-way, without its end marker. */
  TRUNCATED("truncated"),
  /** The answer is sent after an additional delay. */
  LATE("late"),
  /** The answer belongs to another request. */
  CROSSED("crossed"),
  /** The request is refused and not executed. */
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
