package org.coltsfootvale.router.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.NettyPeerTransport;
import org.coltsfootvale.protocol.PeerHandler;
import org.coltsfootvale.protocol.PeerTransportOptions;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.router.forward.ForwardService;
import org.coltsfootvale.router.forward.HomeForwarder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the forwarding of requests to the home of their key over the peer protocol. */
@SuppressWarnings("NullAway.Init")
public class ForwardingTest {

  private static final String SECRET = "a secret of the test fleet, long enough";

  private ServingFixture edge;
  private ServingFixture home;
  private ForwardService service;
  private NettyPeerTransport edgeTransport;
  private NettyPeerTransport homeTransport;
  private RouterIncarnation homeInView;

  @BeforeMethod
  public void start() throws Exception {
    edge = new ServingFixture(2_000);
    home = new ServingFixture(2_000, Fakes.HOME);
    service =
        new ForwardService(
            Fakes.HOME, home.dispatcher, home.drain, home.metrics, InstantSource.system(), 8);
    service.start();
    homeTransport = transport(Fakes.HOME);
    edgeTransport = transport(Fakes.SELF);
    homeInView = Fakes.HOME;
    edge.forwarder = new HomeForwarder(edgeTransport, this::view, InstantSource.system());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    edgeTransport.stop();
    homeTransport.stop();
    service.stop();
    edge.close();
    home.close();
  }

  private NettyPeerTransport transport(RouterIncarnation self) {
    NettyPeerTransport transport =
        new NettyPeerTransport(
            self,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            List.of(SECRET),
            handler(),
            PeerTransportOptions.DEFAULT,
            InstantSource.system());
    transport.start();
    return transport;
  }

  private PeerHandler handler() {
    return (PeerHandler)
        Proxy.newProxyInstance(
            ForwardingTest.class.getClassLoader(),
            new Class<?>[] {PeerHandler.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("onForward")) {
                service.onForward(
                    (RouterIncarnation) arguments[0],
                    (ForwardRequest) arguments[1],
                    (ForwardResponder) arguments[2]);
              }
              return null;
            });
  }

  private FleetView view() {
    RouterView view =
        new RouterView(
            homeInView,
            Liveness.LIVE,
            new DataCentreId("dc1"),
            homeTransport.boundAddress(),
            homeTransport.boundAddress(),
            null,
            1);
    return new FleetView(1, Map.of(), Map.of(homeInView.id(), view));
  }

  private HttpRequest.Builder booking() {
    return edge.booking()
        .header("Coltsfootvale-No-Repeat", "true")
        .header("Idempotency-Key", "r2.1");
  }

  @Test
  public void aBookingRunsOnceAtItsHomeWhicheverRouterReceivesIt() throws Exception {
    HttpResponse<String> forwarded = edge.send(booking());
    assertEquals(forwarded.statusCode(), 201);
    assertEquals(forwarded.headers().firstValue("X-Service").orElse(""), "crane");
    assertEquals(edge.send(booking()).body(), forwarded.body());
    HttpRequest.Builder direct =
        home.booking().header("Coltsfootvale-No-Repeat", "true").header("Idempotency-Key", "r2.1");
    assertEquals(home.send(direct).body(), forwarded.body());
    assertEquals(home.service.runs.get() + edge.service.runs.get(), 1);
  }

  @Test
  public void aForwardedStreamArrivesCompletely() throws Exception {
    HttpResponse<String> answer = edge.send(edge.chat(true).header("Idempotency-Key", "r2.2"));
    assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
    assertEquals(home.first.started.get(), 1);
    assertEquals(edge.first.started.get(), 0);
  }

  @Test
  public void aRefusalOfTheHomeKeepsItsOutcome() throws Exception {
    home.service.faults.add(StubService.Fault.REFUSE_NOT_RUN);
    HttpResponse<String> answer = edge.send(booking());
    assertTrue(answer.body().contains("\"outcome\":\"not_run\""), answer.body());
    assertEquals(edge.send(booking()).body(), "run 1");
  }

  @Test
  public void aStreamThatFailsAtTheHomeEndsInATypedErrorEvent() throws Exception {
    home.first.faults.add(StubEngine.Fault.BREAK_AFTER_TWO);
    for (int i = 0; i < 4; i++) {
      home.first.faults.add(StubEngine.Fault.STATUS_500);
    }
    HttpResponse<String> answer = edge.send(edge.chat(true).header("Idempotency-Key", "r2.3"));
    assertTrue(answer.body().contains("event: error\ndata: {"), answer.body());
    assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
  }

  @Test
  public void aReplacedHomeIsReportedAsLost() throws Exception {
    homeInView = new RouterIncarnation(Fakes.HOME.id(), Fakes.HOME.number() + 1);
    assertOutcomeUnknown(edge.send(booking()), "HOME_LOST");
  }

  @Test
  public void anotherIncarnationAtTheHomesAddressRefuses() throws Exception {
    service.stop();
    RouterIncarnation replacement = new RouterIncarnation(Fakes.HOME.id(), 99);
    service =
        new ForwardService(
            replacement, home.dispatcher, home.drain, home.metrics, InstantSource.system(), 8);
    service.start();
    assertOutcomeUnknown(edge.send(booking()), "HOME_LOST");
  }

  @Test
  public void anUnreachableHomeHasOutcomeUnknown() throws Exception {
    FleetView last = view();
    edge.forwarder = new HomeForwarder(edgeTransport, () -> last, InstantSource.system());
    homeTransport.stop();
    assertOutcomeUnknown(edge.send(booking()), "BACKEND_FAILED");
  }

  @Test
  public void aClosedHomeHasOutcomeUnknown() throws Exception {
    home.drain.close();
    assertOutcomeUnknown(edge.send(booking()), "SHUTTING_DOWN");
  }

  private void assertOutcomeUnknown(HttpResponse<String> answer, String kind) {
    assertTrue(answer.body().contains("\"title\":\"" + kind + "\""), answer.body());
    assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
    assertEquals(home.service.runs.get() + edge.service.runs.get(), 0);
  }
}
