package org.coltsfootvale.core.settings;

import java.net.URI;
import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.support.Checks;

/**
 * The validated settings of a router process, read once at startup.
 *
 * @param router identity and location of the process
 * @param regions the regions of the fleet; may be empty if there is only one
 * @param listen the addresses to bind
 * @param platform the services of the platform
 * @param peers addresses of routers to gossip with until the host list has been read; may be empty
 * @param security secrets and the lifetimes of signed tokens
 * @param requests limits on the requests of callers
 * @param control intervals and budgets of the control traffic
 * @param logging format and level of log lines
 */
public record RouterSettings(
    Identity router,
    List<Region> regions,
    Listen listen,
    Platform platform,
    List<HostPort> peers,
    Security security,
    Requests requests,
    Control control,
    Logging logging) {

  /** Copies the lists. */
  public RouterSettings {
    regions = List.copyOf(regions);
    peers = List.copyOf(peers);
  }

  /** The identity and location of the process. */
  public record Identity(RouterId id, DataCentreId dataCentre) {}

  /** A region and its data centres. */
  public record Region(String id, List<DataCentreId> dataCentres) {

    /** Validates the region's name. */
    public Region {
      Checks.identifier(id, "id");
      dataCentres = List.copyOf(dataCentres);
    }
  }

  /**
   * Returns the region of a data centre; data centres that no region lists share one unnamed
   * region.
   */
  public String regionOf(DataCentreId dataCentre) {
    return regions.stream()
        .filter(region -> region.dataCentres().contains(dataCentre))
        .map(Region::id)
        .findFirst()
        .orElse("");
  }

  /**
   * The addresses to bind, each {@code ip:port}.
   *
   * @param callers for callers and operators
   * @param peers for the protocol between routers
   */
  public record Listen(HostPort callers, HostPort peers) {}

  /**
   * The services of the platform.
   *
   * @param keyValueUrl base address of the key-value service
   * @param weightsUrl base address of the weight store
   * @param hostsUrl base address of the host list
   * @param callTimeoutMillis the timeout of a call in milliseconds
   * @param readerPollMillis the interval in milliseconds at which the router that reads for its
   *     data centre reads the host list
   */
  public record Platform(
      URI keyValueUrl, URI weightsUrl, URI hostsUrl, int callTimeoutMillis, int readerPollMillis) {

    /** Validates the ranges. */
    public Platform {
      Checks.httpUrl(keyValueUrl, "keyValueUrl");
      Checks.httpUrl(weightsUrl, "weightsUrl");
      Checks.httpUrl(hostsUrl, "hostsUrl");
      Checks.range(callTimeoutMillis, 50, 60_000, "callTimeoutMillis");
      Checks.range(readerPollMillis, 100, 600_000, "readerPollMillis");
    }
  }

  /**
   * Secrets and lifetimes.
   *
   * @param fleetSecrets shared secrets of the fleet, at least 32 characters each; the first one
   *     signs, and there is more than one only during rotation
   * @param bootstrapOperatorTokenHash SHA-256 in lower-case hexadecimal of the operator token that
   *     is accepted until a release note adds an operator
   * @param continuationLifetimeMillis the lifetime of a continuation token in milliseconds
   * @param keyPrefixLifetimeMillis the lifetime of a key prefix in milliseconds
   */
  public record Security(
      List<String> fleetSecrets,
      String bootstrapOperatorTokenHash,
      long continuationLifetimeMillis,
      long keyPrefixLifetimeMillis) {

    private static final int SECRET_LENGTH_MIN = 32;

    /** Validates lengths and ranges. */
    public Security {
      fleetSecrets = List.copyOf(fleetSecrets);
      Checks.argument(!fleetSecrets.isEmpty(), "fleetSecrets must hold at least one secret");
      for (String secret : fleetSecrets) {
        Checks.argument(
            secret.length() >= SECRET_LENGTH_MIN,
            "fleetSecrets must have at least %d characters each",
            SECRET_LENGTH_MIN);
      }
      Checks.argument(
          bootstrapOperatorTokenHash.matches("[0-9a-f]{64}"),
          "bootstrapOperatorTokenHash must be a SHA-256 in lower-case hexadecimal");
      Checks.range(
          continuationLifetimeMillis, 1_000, 30L * 86_400_000, "continuationLifetimeMillis");
      Checks.range(keyPrefixLifetimeMillis, 1_000, 86_400_000, "keyPrefixLifetimeMillis");
    }

    @Override
    public String toString() {
      return "Security[fleetSecrets=" + fleetSecrets.size() + " hidden]";
    }
  }

  /**
   * Limits on the requests of callers.
   *
   * @param bodyBytesMax the maximum size of a chat's body in bytes
   * @param deadlineMillisDefault the deadline of a request that states none, in milliseconds
   * @param deadlineMillisMax the longest accepted deadline in milliseconds
   * @param silenceMillisMax how long a stream may deliver nothing before it is resumed elsewhere,
   *     in milliseconds
   * @param concurrentMax the maximum number of requests in progress
   * @param entryLifetimeMillis how long callers may cache an entry answer, in milliseconds
   * @param keysMax the maximum number of idempotency keys held
   * @param keyAnswerBytesMax the memory for stored answers in bytes
   */
  public record Requests(
      int bodyBytesMax,
      int deadlineMillisDefault,
      int deadlineMillisMax,
      int silenceMillisMax,
      int concurrentMax,
      int entryLifetimeMillis,
      int keysMax,
      long keyAnswerBytesMax) {

    /** Validates the ranges. */
    public Requests {
      Checks.range(bodyBytesMax, 1_024, 64 << 20, "bodyBytesMax");
      Checks.range(deadlineMillisMax, 1_000, 3_600_000, "deadlineMillisMax");
      Checks.range(deadlineMillisDefault, 1, deadlineMillisMax, "deadlineMillisDefault");
      Checks.range(silenceMillisMax, 100, 600_000, "silenceMillisMax");
      Checks.range(concurrentMax, 1, 1_000_000, "concurrentMax");
      Checks.range(entryLifetimeMillis, 100, 600_000, "entryLifetimeMillis");
      Checks.range(keysMax, 100, 10_000_000, "keysMax");
      Checks.range(keyAnswerBytesMax, 1 << 20, 4L << 30, "keyAnswerBytesMax");
    }
  }

  /**
   * Intervals and budgets of the control traffic.
   *
   * @param gossipTickMillis the interval in milliseconds at which gossip checks for due messages
   * @param gossipBytesPerSecond the budget of gossip, sent and received, in bytes per second
   * @param probeMillis the interval in milliseconds at which the load of an observed engine is
   *     requested
   * @param suspicionMillis how long a router or engine that does not respond stays live, in
   *     milliseconds
   * @param deadMillis how long it then stays suspect, in milliseconds
   */
  public record Control(
      int gossipTickMillis,
      int gossipBytesPerSecond,
      int probeMillis,
      int suspicionMillis,
      int deadMillis) {

    /** Validates the ranges. */
    public Control {
      Checks.range(gossipTickMillis, 10, 5_000, "gossipTickMillis");
      Checks.range(gossipBytesPerSecond, 500, 1_000_000, "gossipBytesPerSecond");
      Checks.range(probeMillis, 50, 60_000, "probeMillis");
      Checks.range(suspicionMillis, 100, 600_000, "suspicionMillis");
      Checks.range(deadMillis, 100, 600_000, "deadMillis");
    }
  }

  /**
   * The format and level of log lines.
   *
   * @param format {@code text} or {@code json}
   * @param level {@code warning}, {@code info} or {@code fine}
   */
  public record Logging(String format, String level) {

    /** Validates the values. */
    public Logging {
      Checks.argument(
          format.equals("text") || format.equals("json"),
          "format must be text or json, but is %s",
          format);
      Checks.argument(
          level.matches("warning|info|fine"),
          "level must be warning, info or fine, but is %s",
          level);
    }
  }
}
