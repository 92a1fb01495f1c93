package org.coltsfootvale.core.release;

/** Creates release notes for tests. */
public final class Notes {

  private static final String HASH = "ab".repeat(32);
  private static final ReleaseNoteCodec CODEC = new YamlReleaseNoteCodec();

  private Notes() {}

  /** Returns a note that adds a complete small fleet. */
  public static ReleaseNote fleet() {
    return CODEC.readYaml(fleetYaml());
  }

  /** Returns the YAML of a note that adds a complete small fleet. */
  public static String fleetYaml() {
    return """
        id: fleet
        added:
          models:
            - {id: diary, contextTokensMax: 32000}
          pools:
            - {id: south, modelVersion: v1, adapters: [birds], role: mixed}
          engines:
            - id: engine-1
              pool: south
              address: http://127.0.0.1:9001
              dataCentre: fi-south-1
              models: [diary]
              prefillTokensPerSecond: 8000
              checksFencing: true
          organisations:
            - id: reserve
              keyHashes: [%s]
              weight: 1
              requestsPerSecond: 50
              tokensPerSecond: 20000.5
          services:
            - id: sightings
              bodyBytesMax: 65536
              replicas:
                - {id: sightings-1, address: "http://127.0.0.1:9101", dataCentre: fi-south-1}
          operators:
            - {id: first, tokenHash: %s}
        """
        .formatted(HASH, "cd".repeat(32));
  }

  /** Returns a note that adds a model. */
  public static ReleaseNote model(String noteId, String modelId) {
    return CODEC.readYaml(
        """
        id: %s
        added:
          models:
            - {id: %s, contextTokensMax: 1000}
        """
            .formatted(noteId, modelId));
  }

  /** Returns a note that changes a model. */
  public static ReleaseNote changedModel(String noteId, String modelId, int contextTokensMax) {
    return CODEC.readYaml(
        """
        id: %s
        changed:
          models:
            - {id: %s, contextTokensMax: %d}
        """
            .formatted(noteId, modelId, contextTokensMax));
  }

  /** Returns a note that withdraws items of one kind. */
  public static ReleaseNote withdrawn(String noteId, String kind, String id) {
    return CODEC.readYaml("id: " + noteId + "\nwithdrawn:\n  " + kind + ": [" + id + "]\n");
  }
}
