package org.coltsfootvale.protocol;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.admission.DemandReport;
import org.coltsfootvale.core.admission.ShareGrant;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.protocol.wire.Demand;
import org.coltsfootvale.protocol.wire.Share;

/** Converts demand reports and share grants to and from their wire form. */
public final class ShareCodec {

  private ShareCodec() {}

  /** Encodes a demand report. */
  public static org.coltsfootvale.protocol.wire.DemandReport encode(DemandReport report) {
    var builder = org.coltsfootvale.protocol.wire.DemandReport.newBuilder();
    for (DemandReport.Demand demand : report.demands()) {
      builder.addDemands(
          Demand.newBuilder()
              .setOrganisation(demand.organisation().value())
              .setRequestsPerSecond((float) demand.requestsPerSecond())
              .setTokensPerSecond((float) demand.tokensPerSecond()));
    }
    return builder.build();
  }

  /**
   * Decodes a demand report.
   *
   * @throws IllegalArgumentException if a rate is negative or not a number
   */
  public static DemandReport decode(org.coltsfootvale.protocol.wire.DemandReport report) {
    List<DemandReport.Demand> demands = new ArrayList<>(report.getDemandsCount());
    for (Demand demand : report.getDemandsList()) {
      demands.add(
          new DemandReport.Demand(
              new OrganisationId(demand.getOrganisation()),
              rate(demand.getRequestsPerSecond()),
              rate(demand.getTokensPerSecond())));
    }
    return new DemandReport(demands);
  }

  /** Encodes a share grant. */
  public static org.coltsfootvale.protocol.wire.ShareGrant encode(ShareGrant grant) {
    var builder =
        org.coltsfootvale.protocol.wire.ShareGrant.newBuilder()
            .setValidForMillis(Math.toIntExact(grant.validFor().toMillis()));
    for (ShareGrant.Share share : grant.shares()) {
      builder.addShares(
          Share.newBuilder()
              .setOrganisation(share.organisation().value())
              .setRequestsPerSecond((float) share.requestsPerSecond())
              .setTokensPerSecond((float) share.tokensPerSecond()));
    }
    return builder.build();
  }

  /**
   * Decodes a share grant.
   *
   * @throws IllegalArgumentException if a rate is negative or not a number
   */
  public static ShareGrant decode(org.coltsfootvale.protocol.wire.ShareGrant grant) {
    List<ShareGrant.Share> shares = new ArrayList<>(grant.getSharesCount());
    for (Share share : grant.getSharesList()) {
      shares.add(
          new ShareGrant.Share(
              new OrganisationId(share.getOrganisation()),
              rate(share.getRequestsPerSecond()),
              rate(share.getTokensPerSecond())));
    }
    return new ShareGrant(
        shares, Duration.ofMillis(Integer.toUnsignedLong(grant.getValidForMillis())));
  }

  private static double rate(float value) {
    if (Float.isNaN(value) || value < 0) {
      throw new IllegalArgumentException("a rate must be a non-negative number, but is " + value);
    }
    return value;
  }
}
