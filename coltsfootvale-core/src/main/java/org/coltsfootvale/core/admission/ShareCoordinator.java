package org.coltsfootvale.core.admission;

import java.util.List;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Divides fleet-wide limits among the routers. For each organisation, one router, chosen by
 * rendezvous hashing over the live routers, collects the demand and grants shares.
 */
public interface ShareCoordinator {

  /** Returns the demand reports to send now; called once a second. */
  List<AddressedReport> dueReports();

  /** Handles a router's demand report and returns its shares. */
  ShareGrant onReport(RouterIncarnation from, DemandReport report);

  /** Applies the shares granted to this router. */
  void onGrant(RouterIncarnation from, ShareGrant grant);

  /** A report and its destination, which may be this router. */
  record AddressedReport(RouterIncarnation to, DemandReport report) {}
}
