package org.coltsfootvale.verify.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;

/** Settings and release notes of the test fleet. */
final class FleetDocuments {

  private FleetDocuments() {}

  /** Returns the settings file of one router. */
  static String settings(int index, int callerPort, List<Integer> peerPorts, String platformUrl) {
    String peers =
        peerPorts.stream()
            .map(port -> "\"127.0.0.1:" + port + "\"")
            .collect(Collectors.joining(", "));
    return """
    router:
      id: router-%d
      dataCentre: dc-%d
    listen:
      callers: 127.0.0.1:%d
      peers: 127.0.0.1:%d
    platform:
      keyValueUrl: %s
      weightsUrl: %s
      hostsUrl: %s
      callTimeoutMillis: 500
    peers: [%s]
    security:
      fleetSecrets: [0123456789abcdef0123456789abcdef]
      bootstrapOperatorTokenHash: %s
    requests:
      entryLifetimeMillis: 1000
      deadlineMillisDefault: 20000
      silenceMillisMax: 1000
    """
        .formatted(
            index,
            index,
            callerPort,
            peerPorts.get(index),
            platformUrl,
            platformUrl,
            platformUrl,
            peers,
            sha256(ProcessFleet.OPERATOR_TOKEN));
  }

  /** Returns a note that adds engines, one service, one model and one organisation. */
  static String firstNote(List<String> engineUrls, String serviceUrl) {
    StringBuilder note =
        new StringBuilder(
            """
            id: first
            added:
              organisations:
                - {id: reserve, keyHashes: [%s], weight: 1, requestsPerSecond: 500,
                   tokensPerSecond: 1000000}
              models:
                - {id: season, contextTokensMax: 32768}
              pools:
                - {id: main, modelVersion: v1, adapters: [], role: mixed}
              services:
                - id: sightings
                  bodyBytesMax: 10000
                  replicas:
                    - {id: sightings-1, address: "%s", dataCentre: dc-0}
              engines:
            """
                .formatted(sha256(ProcessFleet.CALLER_KEY), serviceUrl));
    for (int i = 0; i < engineUrls.size(); i++) {
      note.append(
          """
              - {id: engine-%d, pool: main, address: "%s", dataCentre: dc-%d, models: [season],
                 prefillTokensPerSecond: 8000, checksFencing: true}
          """
              .formatted(i, engineUrls.get(i), i));
    }
    return note.toString();
  }

  /** Returns a note that adds one model. */
  static String modelNote(String id, String model) {
    return "id: " + id + "\nadded:\n  models:\n    - {id: " + model + ", contextTokensMax: 100}\n";
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
