package org.coltsfootvale.core.admission;

import java.util.List;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Divides fleet-wide limits between routers. For each organisation one router, picked by rendezvous
 * hashing over the live routers, collects the demand and grants shares.
 */
public interface ShareCoordinator {

  /** Returns the demand reports that are due; to be called once a second. */
  List<AddressedReport> dueReports();

  /** Takes a router's demand and returns its shares. */
  ShareGrant onReport(RouterIncarnation from, DemandReport report);

  /** Takes the shares granted to this router. */
  void onGrant(RouterIncarnation from, ShareGrant grant);

  /** A report and the router it goes to; that router may be this one. */
  record AddressedReport(RouterIncarnation to, DemandReport report) {}
}
