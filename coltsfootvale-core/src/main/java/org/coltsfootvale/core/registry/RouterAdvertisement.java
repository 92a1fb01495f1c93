package org.coltsfootvale.core.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Json;

/**
 * What a router tells the others of itself.
 *
 * @param id its name
 * @param dataCentre where it runs
 * @param callerAddress where callers connect
 * @param peerAddress where other routers connect
 * @param capacityCores the processor time that its host gives it, in cores
 */
public record RouterAdvertisement(
    String id,
    String dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    double capacityCores) {

  private static final double CAPACITY_UNKNOWN_CORES = 1;

  /** Writes the advertisement as JSON. */
  public byte[] encode() {
    try {
      return Json.MAPPER.writeValueAsBytes(
          Json.MAPPER
              .createObjectNode()
              .put("id", id)
              .put("dataCentre", dataCentre)
              .put("callerAddress", callerAddress.toString())
              .put("peerAddress", peerAddress.toString())
              .put("capacityCores", capacityCores));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an advertisement could not be written", e);
    }
  }

  /** Reads an advertisement; empty if the bytes hold none. */
  public static Optional<RouterAdvertisement> decode(byte[] bytes) {
    try {
      JsonNode tree = Json.MAPPER.readTree(bytes);
      return Optional.of(
          new RouterAdvertisement(
              tree.path("id").asText(),
              tree.path("dataCentre").asText(),
              HostPort.parse(tree.path("callerAddress").asText()),
              HostPort.parse(tree.path("peerAddress").asText()),
              tree.path("capacityCores").asDouble(CAPACITY_UNKNOWN_CORES)));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
