package org.coltsfootvale.router.control;

import java.time.Duration;
import org.coltsfootvale.core.admission.DemandReport;
import org.coltsfootvale.core.admission.ShareCoordinator;
import org.coltsfootvale.core.admission.ShareGrant;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.ShareCodec;
import org.coltsfootvale.protocol.wire.Envelope;

/** Exchanges demand reports and share grants between routers. */
public final class ShareLoop {

  private static final Duration TIMEOUT = Duration.ofMillis(800);

  private final ShareCoordinator coordinator;
  private final PeerTransport transport;
  private final PeerDirectory directory;
  private final RouterIncarnation self;

  /** Creates a loop that is driven by {@link #tick}. */
  public ShareLoop(
      ShareCoordinator coordinator,
      PeerTransport transport,
      PeerDirectory directory,
      RouterIncarnation self) {
    this.coordinator = coordinator;
    this.transport = transport;
    this.directory = directory;
    this.self = self;
  }

  /** Sends the reports that are due; those addressed to this router are handled locally. */
  public void tick() {
    coordinator.dueReports().forEach(this::send);
  }

  private void send(ShareCoordinator.AddressedReport addressed) {
    RouterIncarnation to = addressed.to();
    if (to.equals(self)) {
      coordinator.onGrant(self, coordinator.onReport(self, addressed.report()));
      return;
    }
    directory.addressOf(to.id()).ifPresent(address -> request(to, address, addressed.report()));
  }

  private void request(RouterIncarnation to, HostPort address, DemandReport report) {
    Envelope message = Envelope.newBuilder().setDemandReport(ShareCodec.encode(report)).build();
    transport
        .request(address, message, TIMEOUT)
        .thenAccept(
            answer -> {
              ShareGrant grant = ShareCodec.decode(answer.getShareGrant());
              coordinator.onGrant(to, grant);
            });
  }
}
