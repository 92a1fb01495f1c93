package org.coltsfootvale.router.forward;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Supplier;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Header;
import org.coltsfootvale.router.request.Answer;
import org.coltsfootvale.router.request.Forwarder;
import org.coltsfootvale.router.request.IncomingRequest;
import org.jspecify.annotations.Nullable;

/** Forwards requests to the home of their key over the peer protocol. */
public final class HomeForwarder implements Forwarder {

  private static final int CREDIT_BYTES = 256 * 1024;

  private final PeerTransport transport;
  private final Supplier<FleetView> view;
  private final InstantSource clock;

  /** Creates a forwarder. */
  public HomeForwarder(PeerTransport transport, Supplier<FleetView> view, InstantSource clock) {
    this.transport = transport;
    this.view = view;
    this.clock = clock;
  }

  @Override
  public void forward(RouterIncarnation home, IncomingRequest request, Answer answer) {
    RouterView peer = findPeer(home);
    long millis = Duration.between(clock.instant(), request.deadline()).toMillis();
    if (millis < 1) {
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the home was asked");
    }
    ForwardedAnswer forwarded = new ForwardedAnswer();
    forwarded.stream(
        transport.forward(peer.peerAddress(), toForwardRequest(home, request, millis), forwarded));
    forwarded.copyTo(answer, millis);
  }

  private RouterView findPeer(RouterIncarnation home) {
    @Nullable RouterView peer = view.get().routers().get(home.id());
    boolean replaced = peer != null && peer.router().number() > home.number();
    if (peer == null || replaced || peer.liveness() == Liveness.DEAD) {
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.HOME_LOST, "the key's home " + home + " is gone");
    }
    return peer;
  }

  private static ForwardRequest toForwardRequest(
      RouterIncarnation home, IncomingRequest request, long millis) {
    ForwardRequest.Builder message =
        ForwardRequest.newBuilder()
            .setRequestId(request.requestId())
            .setMethod(request.method())
            .setPath(request.path())
            .setBody(UnsafeByteOperations.unsafeWrap(request.body()))
            .setOrganisation(request.organisation().value())
            .setDeadlineMillis(millis)
            .setHomeIncarnation(home.number())
            .setInitialCreditBytes(CREDIT_BYTES);
    if (request.query() != null) {
      message.setQuery(request.query());
    }
    Headers headers = request.headers().newBuilder().removeAll("Authorization").build();
    for (int i = 0; i < headers.size(); i++) {
      message.addHeaders(Header.newBuilder().setName(headers.name(i)).setValue(headers.value(i)));
    }
    return message.build();
  }
}
