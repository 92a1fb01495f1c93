package org.coltsfootvale.core.settings;

import java.net.URI;
import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.support.Checks;

/**
 * The checked settings of a router process, read once at its start.
 *
 * @param router who and where the process is
 * @param regions the regions of the fleet; may be empty if there is one
 * @param listen the addresses it binds
 * @param platform the platform's services
 * @param peers addresses of routers to gossip with before the host list is known; may be empty
 * @param security secrets and lifetimes of what they sign
 * @param requests limits of callers' requests
 * @param control intervals and budgets of the control traffic
 * @param logging the form of log lines
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

  /** Copies the list. */
  public RouterSettings {
    regions = List.copyOf(regions);
    peers = List.copyOf(peers);
  }

  /** Who and where the process is. */
  public record Identity(RouterId id, DataCentreId dataCentre) {}

  /** A region and its data centres. */
  public record Region(String id, List<DataCentreId> dataCentres) {

    /** Checks the region's name. */
    public Region {
      Checks.identifier(id, "id");
      dataCentres = List.copyOf(dataCentres);
    }
  }

  /** Returns the region of a data centre; data centres that no region lists share one. */
  public String regionOf(DataCentreId dataCentre) {
    return regions.stream()
        .filter(region -> region.dataCentres().contains(dataCentre))
        .map(Region::id)
        .findFirst()
        .orElse("");
  }

  /**
   * The addresses that the process binds, each {@code ip:port}.
   *
   * @param callers for callers and operators
   * @param peers for the inner protocol
   */
  public record Listen(HostPort callers, HostPort peers) {}

  /**
   * The platform's services.
   *
   * @param keyValueUrl base address of the key-value service
   * @param weightsUrl base address of the weight store
   * @param hostsUrl base address of the host list
   * @param callTimeoutMillis how long a call may take
   * @param readerPollMillis how often a router that reads for its data centre reads the host list
   */
  public record Platform(
      URI keyValueUrl, URI weightsUrl, URI hostsUrl, int callTimeoutMillis, int readerPollMillis) {

    /** Checks the ranges. */
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
   * @param fleetSecrets shared secrets of the fleet, the one to sign with first, at least 32
   *     characters each; more than one only while secrets are changed
   * @param bootstrapOperatorTokenHash SHA-256 in lower-case hexadecimal of the operator token that
   *     holds until a release note adds an operator
   * @param continuationLifetimeMillis how long a continuation token is of use
   * @param keyPrefixLifetimeMillis how long a key prefix may be used
   */
  public record Security(
      List<String> fleetSecrets,
      String bootstrapOperatorTokenHash,
      long continuationLifetimeMillis,
      long keyPrefixLifetimeMillis) {

    private static final int SECRET_LENGTH_MIN = 32;

    /** Checks lengths and ranges. */
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
   * Limits of callers' requests.
   *
   * @param bodyBytesMax the largest body of a chat
   * @param deadlineMillisDefault the deadline of a request that states none
   * @param deadlineMillisMax the longest deadline that is accepted
   * @param silenceMillisMax how long a stream may be silent before it is resumed elsewhere
   * @param concurrentMax the greatest number of requests in progress
   * @param entryLifetimeMillis how long callers may keep an entry answer
   * @param keysMax the greatest number of idempotency keys held
   * @param keyAnswerBytesMax the memory for stored answers
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

    /** Checks the ranges. */
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
   * @param gossipTickMillis how often gossip looks for due messages
   * @param gossipBytesPerSecond the budget of gossip, sent and received
   * @param probeMillis how often an observed engine is asked for its load
   * @param suspicionMillis how long a silent router or engine stays live
   * @param deadMillis how long it stays suspect
   */
  public record Control(
      int gossipTickMillis,
      int gossipBytesPerSecond,
      int probeMillis,
      int suspicionMillis,
      int deadMillis) {

    /** Checks the ranges. */
    public Control {
      Checks.range(gossipTickMillis, 10, 5_000, "gossipTickMillis");
      Checks.range(gossipBytesPerSecond, 500, 1_000_000, "gossipBytesPerSecond");
      Checks.range(probeMillis, 50, 60_000, "probeMillis");
      Checks.range(suspicionMillis, 100, 600_000, "suspicionMillis");
      Checks.range(deadMillis, 100, 600_000, "deadMillis");
    }
  }

  /**
   * The form of log lines.
   *
   * @param format {@code text} or {@code json}
   * @param level {@code warning}, {@code info} or {@code fine}
   */
  public record Logging(String format, String level) {

    /** Checks the words. */
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
