package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.ContentType;
import io.javalin.http.Context;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.RateLimit;
import org.coltsfootvale.testkit.support.ResponseStream;
import org.coltsfootvale.testkit.support.StandInServer;

/** A stand-in of the platform: key-value service, weight store, host list and call counts. */
public final class PlatformStandIn extends StandInServer {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int NOT_FOUND = 404;
  private static final int CODE_RESOURCE_EXHAUSTED = 8;
  private static final int CODE_NOT_FOUND = 5;
  private static final long LEASE_SWEEP_MILLIS = 100;

  private final PlatformOptions options;
  private final Store store;
  private final StoreCalls calls;
  private final WatchCalls watches;
  private final HostList hosts;
  private final RateLimit reads;
  private final RateLimit writes;
  private final RateLimit weightWrites;
  private final CallCounts counts = new CallCounts();
  private final Map<String, JsonNode> weights = new ConcurrentHashMap<>();

  /**
   * Creates a platform stand-in.
   *
   * @param options its port, rate limits and lag
   * @param clock the time source for leases, rate limits and lag
   */
  public PlatformStandIn(PlatformOptions options, InstantSource clock) {
    super(options.port());
    this.options = options;
    this.store = new Store(clock);
    this.calls = new StoreCalls(store);
    this.watches = new WatchCalls(store);
    this.hosts = new HostList(clock, options.hostsLagMillis());
    this.reads = new RateLimit(clock, options.readsPerSecond());
    this.writes = new RateLimit(clock, options.writesPerSecond());
    this.weightWrites = new RateLimit(clock, options.weightWritesPerSecond());
  }

  @Override
  protected void addRoutes(Javalin server) {
    call(server, "/v3/kv/range", "range", reads, calls::range);
    call(server, "/v3/kv/put", "put", writes, calls::put);
    call(server, "/v3/kv/deleterange", "deleteRange", writes, calls::deleteRange);
    call(server, "/v3/kv/txn", "txn", writes, calls::transaction);
    call(server, "/v3/lease/grant", "leaseGrant", writes, calls::grantLease);
    call(server, "/v3/lease/keepalive", "leaseKeepAlive", writes, calls::keepLeaseAlive);
    call(server, "/v3/lease/revoke", "leaseRevoke", writes, calls::revokeLease);
    server.post("/v3/watch", this::watch);
    server.get("/weights/{pool}", this::readWeights);
    server.put("/weights/{pool}", this::writeWeights);
    server.get("/hosts", this::listHosts);
    server.post("/hosts", this::updateHosts);
    server.get("/counts", ctx -> json(ctx, callCounts()));
    server.exception(LeaseNotFoundException.class, PlatformStandIn::leaseNotFound);
  }

  @Override
  protected void onStart() {
    repeatEvery(LEASE_SWEEP_MILLIS, store::expireLeases);
  }

  @Override
  protected void onFaultsChanged() {
    if (faults().outage()) {
      watches.cutAll();
    }
  }

  @Override
  protected boolean canLoseReply(Context ctx) {
    return ctx.path().startsWith("/v3/") && !ctx.path().endsWith("/range");
  }

  /** Returns the calls by kind, the number of open watches and the rate limits. */
  public ObjectNode callCounts() {
    ObjectNode answer = Json.object();
    answer.set("calls", counts.toJson());
    answer.put("openWatches", watches.openCount());
    answer.put("writesPerSecondMax", options.writesPerSecond());
    answer.put("readsPerSecondMax", options.readsPerSecond());
    return answer;
  }

  private void call(
      Javalin server,
      String path,
      String kind,
      RateLimit rate,
      Function<JsonNode, ObjectNode> operation) {
    server.post(
        path,
        ctx -> {
          if (admit(ctx, kind, rate)) {
            json(ctx, operation.apply(Json.parseObject(ctx.body())));
          }
        });
  }

  private boolean admit(Context ctx, String kind, RateLimit rate) {
    counts.add(kind);
    if (rate.tryAcquire()) {
      return true;
    }
    counts.add(kind + "Refused");
    ctx.status(TOO_MANY_REQUESTS);
    ctx.header("Retry-After", Long.toString(rate.retryAfterSeconds()));
    json(ctx, error(CODE_RESOURCE_EXHAUSTED, "etcdserver: too many requests"));
    return false;
  }

  private void watch(Context ctx) {
    if (admit(ctx, "watch", reads)) {
      ctx.contentType(ContentType.APPLICATION_JSON);
      JsonNode request = Json.parseObject(ctx.body());
      watches.serve(request, ResponseStream.open(ctx, writers()));
    }
  }

  private void readWeights(Context ctx) {
    counts.add("weightsRead");
    JsonNode found = weights.get(ctx.pathParam("pool"));
    ObjectNode empty = Json.object();
    empty.putObject("weights");
    json(ctx, found == null ? empty : found);
  }

  private void writeWeights(Context ctx) {
    if (admit(ctx, "weightsWrite", weightWrites)) {
      JsonNode body = Json.parseObject(ctx.body());
      if (!body.path("weights").isObject()) {
        throw new IllegalArgumentException("the body needs an object 'weights'");
      }
      weights.put(ctx.pathParam("pool"), body);
      json(ctx, body);
    }
  }

  private void listHosts(Context ctx) {
    counts.add("hostsRead");
    json(ctx, hosts.toJson());
  }

  private void updateHosts(Context ctx) {
    JsonNode body = Json.parseObject(ctx.body());
    hosts.update(body.path("hosts"), "true".equals(ctx.queryParam("immediate")));
    json(ctx, hosts.toJson());
  }

  private static void leaseNotFound(LeaseNotFoundException e, Context ctx) {
    json(ctx.status(NOT_FOUND), error(CODE_NOT_FOUND, String.valueOf(e.getMessage())));
  }

  private static ObjectNode error(int code, String message) {
    return Json.object().put("error", message).put("code", code).put("message", message);
  }
}
