package org.coltsfootvale.core.admission;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Divides each organisation's limits by demand. A router without a valid grant uses its last share
 * for {@code expiredShareFor} and then an equal part of the limit. Thread-safe.
 */
public final class DefaultShareCoordinator implements ShareCoordinator, ShareSource {

  private final RouterIncarnation self;
  private final Supplier<FleetState> state;
  private final Supplier<FleetView> view;
  private final DemandMeter meter;
  private final InstantSource clock;
  private final AdmissionOptions options;
  private final Map<OrganisationId, DemandTable> demandTables = new ConcurrentHashMap<>();
  private final Map<OrganisationId, GrantedShare> granted = new ConcurrentHashMap<>();

  /** Creates the coordinating and the requesting side of one router. */
  public DefaultShareCoordinator(
      RouterIncarnation self,
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      DemandMeter meter,
      InstantSource clock,
      AdmissionOptions options) {
    this.self = self;
    this.state = state;
    this.view = view;
    this.meter = meter;
    this.clock = clock;
    this.options = options;
  }

  @Override
  public List<AddressedReport> dueReports() {
    Map<OrganisationId, OrganisationSpec> organisations = state.get().organisations();
    meter.retain(organisations.keySet());
    demandTables.keySet().retainAll(organisations.keySet());
    granted.keySet().retainAll(organisations.keySet());
    List<RouterIncarnation> routers = liveRouters();
    Map<RouterIncarnation, List<DemandReport.Demand>> byCoordinator = new HashMap<>();
    for (DemandReport.Demand demand : meter.demands().values()) {
      RouterIncarnation coordinator = coordinatorOf(demand.organisation(), routers);
      byCoordinator.computeIfAbsent(coordinator, id -> new ArrayList<>()).add(demand);
    }
    List<AddressedReport> reports = new ArrayList<>();
    byCoordinator.forEach(
        (to, demands) -> reports.add(new AddressedReport(to, new DemandReport(demands))));
    return reports;
  }

  @Override
  public ShareGrant onReport(RouterIncarnation from, DemandReport report) {
    Instant now = clock.instant();
    List<RouterIncarnation> routers = liveRouters();
    List<ShareGrant.Share> shares = new ArrayList<>();
    for (DemandReport.Demand demand : report.demands()) {
      OrganisationSpec organisation = state.get().organisations().get(demand.organisation());
      if (organisation != null) {
        shares.add(share(organisation, from, demand, routers, now));
      }
    }
    return new ShareGrant(shares, options.grantValidFor());
  }

  @Override
  public void onGrant(RouterIncarnation from, ShareGrant grant) {
    Instant validUntil = clock.instant().plus(grant.validFor());
    for (ShareGrant.Share share : grant.shares()) {
      granted.put(share.organisation(), new GrantedShare(share, validUntil));
    }
  }

  @Override
  public ShareGrant.Share shareOf(OrganisationSpec organisation) {
    @Nullable GrantedShare share = granted.get(organisation.id());
    if (share != null
        && clock.instant().isBefore(share.validUntil().plus(options.expiredShareFor()))) {
      return share.share();
    }
    return equalShare(organisation, liveRouters().size());
  }

  /**
   * Returns an equal part if this router is not the coordinator in its own view, because views may
   * differ.
   */
  private ShareGrant.Share share(
      OrganisationSpec organisation,
      RouterIncarnation from,
      DemandReport.Demand demand,
      List<RouterIncarnation> routers,
      Instant now) {
    if (!coordinatorOf(organisation.id(), routers).equals(self)) {
      return equalShare(organisation, routers.size());
    }
    DemandTable demandTable =
        demandTables.computeIfAbsent(
            organisation.id(), id -> new DemandTable(options.grantValidFor()));
    return demandTable.grant(organisation, from, demand, routers.size(), now);
  }

  private static ShareGrant.Share equalShare(OrganisationSpec organisation, int routers) {
    return new ShareGrant.Share(
        organisation.id(),
        organisation.requestsPerSecond() / routers,
        organisation.tokensPerSecond() / routers);
  }

  private RouterIncarnation coordinatorOf(
      OrganisationId organisation, List<RouterIncarnation> routers) {
    long key = RendezvousHashing.hash(organisation.value());
    return RendezvousHashing.winner(
            key, routers, router -> RendezvousHashing.hash(router.id().value()))
        .orElse(self);
  }

  /** Returns the live routers and always this one, even if it is not in the view yet. */
  private List<RouterIncarnation> liveRouters() {
    List<RouterIncarnation> routers = new ArrayList<>();
    boolean selfIncluded = false;
    for (RouterView router : view.get().routers().values()) {
      boolean isSelf = router.router().id().equals(self.id());
      if (isSelf || router.liveness() == Liveness.LIVE) {
        routers.add(isSelf ? self : router.router());
      }
      selfIncluded |= isSelf;
    }
    if (!selfIncluded) {
      routers.add(self);
    }
    return routers;
  }

  private record GrantedShare(ShareGrant.Share share, Instant validUntil) {}
}
