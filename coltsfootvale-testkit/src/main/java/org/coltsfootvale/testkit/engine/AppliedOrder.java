package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.coltsfootvale.testkit.support.Json;

/** The order last applied by an engine. Thread-safe. */
final class AppliedOrder {

  private final boolean checksFencing;
  private long highestFencing;
  private long fencing;
  private JsonNode target = Json.object();

  AppliedOrder(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** Applies an order and returns the state, or empty if its fencing number is stale. */
  synchronized Optional<ObjectNode> apply(JsonNode order) {
    if (!order.path("fencing").isIntegralNumber() || !order.path("target").isObject()) {
      throw new IllegalArgumentException("an order needs the number 'fencing' and a 'target'");
    }
    long number = order.path("fencing").asLong();
    if (checksFencing && number < highestFencing) {
      return Optional.empty();
    }
    highestFencing = Math.max(highestFencing, number);
    fencing = number;
    target = order.path("target");
    return Optional.of(toJson());
  }

  /** Returns the greatest fencing number seen. */
  synchronized long highestFencing() {
    return highestFencing;
  }

  /** Returns the state in the format of {@code GET /orders}. */
  synchronized ObjectNode toJson() {
    ObjectNode state = Json.object().put("fencing", fencing);
    state.set("target", target);
    return state;
  }
}
