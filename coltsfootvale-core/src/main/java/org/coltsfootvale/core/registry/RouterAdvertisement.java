package org.coltsfootvale.core.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.support.Json;

/**
 * The record under which a router registers itself in the store.
 *
 * @param id the id of the router
 * @param dataCentre the data centre it runs in
 * @param callerAddress the address for callers
 * @param peerAddress the address for other routers
 * @param capacityCores the processor time available on its host, in cores
 */
public record RouterAdvertisement(
    String id,
    String dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    double capacityCores) {

  private static final double CAPACITY_UNKNOWN_CORES = 1;

  /** Encodes the advertisement as JSON. */
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
      throw new IllegalStateException("could not encode router advertisement", e);
    }
  }

  /** Decodes an advertisement; empty if the bytes are not a valid one. */
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
