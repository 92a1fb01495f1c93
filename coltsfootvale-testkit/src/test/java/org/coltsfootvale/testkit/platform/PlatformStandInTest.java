package org.coltsfootvale.testkit.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import okhttp3.Response;
import okio.BufferedSource;
import org.coltsfootvale.testkit.ManualClock;
import org.coltsfootvale.testkit.TestHttp;
import org.coltsfootvale.testkit.support.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlatformStandInTest {

  private ManualClock clock = new ManualClock();
  private TestHttp http = new TestHttp();
  private PlatformStandIn platform =
      new PlatformStandIn(PlatformOptions.onPort(0), new ManualClock());

  @BeforeMethod
  public void startPlatform() {
    clock = new ManualClock();
    http = new TestHttp();
    platform = new PlatformStandIn(PlatformOptions.onPort(0).withRates(10, 50), clock);
    platform.start();
  }

  @AfterMethod
  public void stopPlatform() {
    http.close();
    platform.stop();
  }

  @Test
  public void aKeyIsCreatedOnlyOnce() throws IOException {
    assertTrue(createIfAbsent("notes/1", "a", 0).path("succeeded").asBoolean());
    assertFalse(createIfAbsent("notes/1", "b", 0).path("succeeded").asBoolean());
    assertEquals(value("notes/1"), "a");
  }

  @Test
  public void aCompareAndSwapNeedsTheRevisionOfTheLastWrite() throws IOException {
    createIfAbsent("k", "a", 0);
    String revision = range("k").path("kvs").path(0).path("mod_revision").asText();
    assertTrue(swap("k", "b", revision).path("succeeded").asBoolean());
    assertFalse(swap("k", "c", revision).path("succeeded").asBoolean());
    assertEquals(value("k"), "b");
  }

  @Test
  public void anExpiredLeaseDeletesItsKeysAndCannotBeRenewed() throws IOException {
    String id = call("/v3/lease/grant", "{\"TTL\":\"5\"}").path("ID").asText();
    createIfAbsent("lease-key", "a", Long.parseLong(id));
    clock.advance(Duration.ofSeconds(4));
    JsonNode renewed = call("/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}").path("result");
    assertEquals(renewed.path("TTL").asText(), "5");
    clock.advance(Duration.ofSeconds(5));
    assertTrue(range("lease-key").path("kvs").isMissingNode());
    JsonNode lapsed = call("/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}").path("result");
    assertTrue(lapsed.path("TTL").isMissingNode());
  }

  @Test
  public void aWatchDeliversPastAndFutureChangesFromItsRevision() throws IOException {
    createIfAbsent("w/1", "a", 0);
    String from = range("w/1").path("kvs").path(0).path("mod_revision").asText();
    String body =
        "{\"create_request\":{\"key\":\"%s\",\"range_end\":\"%s\",\"start_revision\":\"%s\"}}"
            .formatted(encode("w/"), encode("w0"), from);
    try (Response response = http.open("POST", platform.url() + "/v3/watch", body, Map.of())) {
      BufferedSource lines = response.body().source();
      assertTrue(TestHttp.json(line(lines)).path("result").path("created").asBoolean());
      assertEquals(watchedValue(line(lines)), "a");
      createIfAbsent("other", "x", 0);
      createIfAbsent("w/2", "b", 0);
      assertEquals(watchedValue(line(lines)), "b");
    }
  }

  @Test
  public void aLostReplyHidesAWriteThatTookEffect() throws IOException {
    platform.faults().arm(Fault.REPLY_LOST, 1);
    assertThrows(IOException.class, () -> createIfAbsent("k", "a", 0));
    assertEquals(value("k"), "a");
  }

  @Test
  public void anOutageClosesConnectionsUntilSwitchedOff() throws IOException {
    http.post(platform.url() + "/faults", "{\"outage\":true}");
    assertThrows(IOException.class, () -> range("k"));
    http.post(platform.url() + "/faults", "{\"outage\":false}");
    assertEquals(range("k").path("count").asText(), "0");
  }

  @Test
  public void callsOverTheRateAreRefusedAndCounted() throws IOException {
    for (int i = 0; i < 10; i++) {
      createIfAbsent("k" + i, "a", 0);
    }
    assertEquals(http.post(platform.url() + "/v3/kv/put", "{}").status(), 429);
    JsonNode calls = http.get(platform.url() + "/counts").json().path("calls");
    assertEquals(calls.path("txn").asInt(), 10);
    assertEquals(calls.path("putRefused").asInt(), 1);
    clock.advance(Duration.ofSeconds(1));
    assertTrue(createIfAbsent("k11", "a", 0).path("succeeded").asBoolean());
  }

  @Test
  public void aValueOverAMegabyteIsRefused() throws IOException {
    String body = "{\"key\":\"%s\",\"value\":\"%s\"}";
    String value = Base64.getEncoder().encodeToString(new byte[(1 << 20) + 1]);
    TestHttp.Reply reply =
        http.post(platform.url() + "/v3/kv/put", body.formatted(encode("k"), value));
    assertEquals(reply.status(), 400);
    assertTrue(range("k").path("kvs").isMissingNode());
  }

  @Test
  public void theHostListLagsBehindItsChanges() throws IOException {
    String hosts = "{\"hosts\":[{\"id\":\"r1\",\"state\":\"live\"}]}";
    http.post(platform.url() + "/hosts", hosts);
    assertEquals(http.get(platform.url() + "/hosts").json().path("hosts").size(), 0);
    clock.advance(Duration.ofSeconds(3));
    assertEquals(http.get(platform.url() + "/hosts").json().path("hosts").size(), 1);
    http.post(platform.url() + "/hosts?immediate=true", hosts.replace("live", "gone"));
    assertEquals(http.get(platform.url() + "/hosts").json().path("hosts").size(), 0);
  }

  @Test
  public void theWeightStoreLimitsItsWrites() throws IOException {
    String url = platform.url() + "/weights/p";
    String body = "{\"weights\":{\"e1\":0.5}}";
    assertEquals(http.send("PUT", url, body, Map.of()).status(), 200);
    assertEquals(http.send("PUT", url, body, Map.of()).status(), 200);
    assertEquals(http.send("PUT", url, body, Map.of()).status(), 429);
    assertEquals(http.get(url).json().path("weights").path("e1").asDouble(), 0.5);
  }

  private JsonNode createIfAbsent(String key, String value, long lease) throws IOException {
    return transaction("CREATE", "create_revision", key, value, "0", lease);
  }

  private JsonNode swap(String key, String value, String revision) throws IOException {
    return transaction("MOD", "mod_revision", key, value, revision, 0);
  }

  private JsonNode transaction(
      String target, String field, String key, String value, String revision, long lease)
      throws IOException {
    String body =
        """
        {"compare":[{"target":"%s","result":"EQUAL","key":"%s","%s":"%s"}],
         "success":[{"request_put":{"key":"%s","value":"%s","lease":"%d"}}]}
        """
            .formatted(target, encode(key), field, revision, encode(key), encode(value), lease);
    return call("/v3/kv/txn", body);
  }

  private JsonNode range(String key) throws IOException {
    return call("/v3/kv/range", "{\"key\":\"" + encode(key) + "\"}");
  }

  private String value(String key) throws IOException {
    return decode(range(key).path("kvs").path(0).path("value").asText());
  }

  private JsonNode call(String path, String body) throws IOException {
    return http.post(platform.url() + path, body).json();
  }

  private static String line(BufferedSource lines) throws IOException {
    return lines.readUtf8LineStrict();
  }

  private static String watchedValue(String line) throws IOException {
    JsonNode event = TestHttp.json(line).path("result").path("events").path(0);
    return decode(event.path("kv").path("value").asText());
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String decode(String text) {
    return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
  }
}
