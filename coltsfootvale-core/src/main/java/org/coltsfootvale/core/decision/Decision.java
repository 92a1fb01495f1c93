package org.coltsfootvale.core.decision;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A decision with the inputs that led to it. Values are strings, numbers or booleans. API keys and
 * prompt texts must not be included.
 */
public final class Decision {

  /** The name of the field that holds the request's id. */
  public static final String REQUEST_ID_FIELD = "request";

  private final DecisionEvent event;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private Decision(DecisionEvent event) {
    this.event = event;
  }

  /** Creates a decision without fields. */
  public static Decision of(DecisionEvent event) {
    return new Decision(event);
  }

  /** Creates a decision about a request. */
  public static Decision of(DecisionEvent event, String requestId) {
    return new Decision(event).with(REQUEST_ID_FIELD, requestId);
  }

  /** Adds a string. */
  public Decision with(String name, String value) {
    fields.put(name, value);
    return this;
  }

  /** Adds an integer. */
  public Decision with(String name, long value) {
    fields.put(name, value);
    return this;
  }

  /** Adds a number, rounded to hundredths. */
  public Decision with(String name, double value) {
    fields.put(name, Math.round(value * 100) / 100.0);
    return this;
  }

  /** Adds a boolean. */
  public Decision with(String name, boolean value) {
    fields.put(name, value);
    return this;
  }

  /** Returns the event. */
  public DecisionEvent event() {
    return event;
  }

  /** Returns the fields in the order of their addition. */
  public Map<String, Object> fields() {
    return Collections.unmodifiableMap(fields);
  }

  @Override
  public String toString() {
    return event.wireName() + fields;
  }
}
