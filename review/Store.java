import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's metadata store: items, watches, transactions and leases. */
final class Store implements AutoCloseable {

  private static final Pattern PUT =
      Pattern.compile(
          "\\{\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\",\"lease\":([0-9]+)\\}");
  private static final Pattern TTL = Pattern.compile("\"ttlMs\":([0-9]+)");

  private record Item(String key, String value, long revision, long lease, boolean deleted) {
    String json() {
      return deleted
          ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
          : "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
              + ",\"created\":" + revision + ",\"lease\":" + lease + "}";
    }
  }

  private record Lease(long ttlMillis, long endMillis) {}

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long latestLease = 1000;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes an item as the operator or a server does; returns its revision. */
  synchronized long write(String key, String json) {
    return put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Item(key, "", ++revision, 0, true));
      notifyAll();
    }
  }

  private long put(String key, String value, long lease) {
    Item item = new Item(key, value, ++revision, lease, false);
    items.put(key, item);
    history.add(item);
    notifyAll();
    return revision;
  }

  private synchronized void expireLeases() {
    long now = System.currentTimeMillis();
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.endMillis() <= now) {
            ended.add(id);
          }
        });
    ended.forEach(this::endLease);
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys =
        items.values().stream().filter(item -> item.lease() == id).map(Item::key).toList();
    keys.forEach(this::delete);
  }

  private void handle(HttpExchange call) throws IOException {
    try (call) {
      expireLeases();
      byte[] body = call.getRequestBody().readAllBytes();
      String text = new String(body, StandardCharsets.UTF_8);
      String path = call.getRequestURI().getPath();
      Map<String, String> query = query(call.getRequestURI().getRawQuery());
      switch (path) {
        case "/kv-key" -> key(call, query);
        case "/kv-range" -> range(call, query);
        case "/kv-watch" -> watch(call, query);
        case "/kv-txn" -> transaction(call, text);
        case "/kv-lease" -> grant(call, text);
        default -> lease(call, path);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void key(HttpExchange call, Map<String, String> query) throws IOException {
    Item item = items.get(query.get("key"));
    answer(call, item == null ? 404 : 200, item == null ? "{}" : item.json());
  }

  private void range(HttpExchange call, Map<String, String> query) throws IOException {
    String text;
    synchronized (this) {
      List<String> found = new ArrayList<>();
      String after = query.getOrDefault("after", "");
      items.forEach(
          (key, item) -> {
            if (key.startsWith(query.get("prefix")) && key.compareTo(after) > 0) {
              found.add(item.json());
            }
          });
      text =
          "{\"entries\":[" + String.join(",", found) + "],\"truncated\":false,\"at\":" + revision
              + "}";
    }
    answer(call, 200, text);
  }

  private void watch(HttpExchange call, Map<String, String> query)
      throws IOException, InterruptedException {
    String prefix = query.get("prefix");
    long after = Long.parseLong(query.get("after"));
    long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    String text;
    synchronized (this) {
      List<String> events = events(prefix, after);
      while (events.isEmpty() && System.currentTimeMillis() < end) {
        wait(Math.max(1, end - System.currentTimeMillis()));
        events = events(prefix, after);
      }
      text = "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
    }
    answer(call, 200, text);
  }

  private List<String> events(String prefix, long after) {
    return history.stream()
        .filter(item -> item.revision() > after && item.key().startsWith(prefix))
        .map(Item::json)
        .toList();
  }

  private synchronized void transaction(HttpExchange call, String text) throws IOException {
    Matcher put = PUT.matcher(text);
    while (put.find()) {
      long lease = Long.parseLong(put.group(3));
      if (lease != 0 && !leases.containsKey(lease)) {
        answer(call, 404, "{}");
        return;
      }
      put(put.group(1), put.group(2), lease);
    }
    answer(call, 200, "{\"revision\":" + revision + "}");
  }

  private synchronized void grant(HttpExchange call, String text) throws IOException {
    Matcher ttl = TTL.matcher(text);
    long ttlMillis = ttl.find() ? Long.parseLong(ttl.group(1)) : 3_000;
    latestLease++;
    leases.put(latestLease, new Lease(ttlMillis, System.currentTimeMillis() + ttlMillis));
    answer(call, 200, "{\"lease\":" + latestLease + ",\"ttlMs\":" + ttlMillis + "}");
  }

  private synchronized void lease(HttpExchange call, String path) throws IOException {
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Lease lease = leases.get(id);
    if (lease == null) {
      answer(call, 404, "{}");
    } else if (path.startsWith("/kv-keep/")) {
      leases.put(
          id, new Lease(lease.ttlMillis(), System.currentTimeMillis() + lease.ttlMillis()));
      answer(call, 200, "{\"ttlMs\":" + lease.ttlMillis() + "}");
    } else {
      endLease(id);
      answer(call, 200, "{}");
    }
  }

  private static void answer(HttpExchange call, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      values.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return values;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
