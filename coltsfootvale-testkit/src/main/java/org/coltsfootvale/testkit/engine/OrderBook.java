package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.coltsfootvale.testkit.support.Json;

/** The order that an engine has last taken over. Safe for use by several threads. */
final class OrderBook {

  private final boolean checksFencing;
  private long highestSeen;
  private long fencing;
  private JsonNode target = Json.object();

  OrderBook(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** Takes an order over and returns the state, or nothing if its fencing number is old. */
  synchronized Optional<ObjectNode> apply(JsonNode order) {
    if (!order.path("fencing").isIntegralNumber() || !order.path("target").isObject()) {
      throw new IllegalArgumentException("an order needs the number 'fencing' and a 'target'");
    }
    long number = order.path("fencing").asLong();
    if (checksFencing && number < highestSeen) {
      return Optional.empty();
    }
    highestSeen = Math.max(highestSeen, number);
    fencing = number;
    target = order.path("target");
    return Optional.of(toJson());
  }

  /** Returns the greatest fencing number seen. */
  synchronized long highestSeen() {
    return highestSeen;
  }

  /** Returns the state as {@code GET /orders} shows it. */
  synchronized ObjectNode toJson() {
    ObjectNode state = Json.object().put("fencing", fencing);
    state.set("target", target);
    return state;
  }
}
