package org.coltsfootvale.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import okhttp3.OkHttpClient;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;

/** Reads the platform's list of live and leaving hosts, which lags behind their state. */
public final class HostListClient {

  private final String url;
  private final JsonHttpClient jsonClient;

  /** Creates a client of the host list at a base address. */
  public HostListClient(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, URI url, Duration timeout) {
    this.url = url.toString().replaceAll("/$", "") + "/hosts";
    this.jsonClient = new JsonHttpClient(client, mapper, meters, timeout);
  }

  /** Reads the list; fails with a PlatformException. Invalid entries are counted and skipped. */
  public CompletableFuture<HostList> read() {
    return jsonClient.get("hosts", url).thenApply(this::parse);
  }

  private HostList parse(JsonNode answer) {
    List<ListedHost> hosts = new ArrayList<>();
    for (JsonNode host : answer.path("hosts")) {
      try {
        hosts.add(parseHost(host));
      } catch (IllegalArgumentException e) {
        jsonClient.countResult("hosts", "entry_invalid");
      }
    }
    return new HostList(hosts, Instant.ofEpochMilli(answer.path("asOfMillis").asLong()));
  }

  private static ListedHost parseHost(JsonNode host) {
    return new ListedHost(
        host.path("id").asText(),
        ListedHost.Kind.valueOf(host.path("kind").asText().toUpperCase(Locale.ROOT)),
        HostPort.parse(host.path("address").asText()),
        new DataCentreId(host.path("dataCentre").asText()),
        host.path("state").asText().equals("leaving"));
  }

  /**
   * A host list.
   *
   * @param hosts the hosts
   * @param asOf the platform's time stamp of the list
   */
  public record HostList(List<ListedHost> hosts, Instant asOf) {}
}
