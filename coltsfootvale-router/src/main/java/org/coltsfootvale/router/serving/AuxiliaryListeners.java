package org.coltsfootvale.router.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.overload.ConnectionLimit;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.router.http.EndpointListener;
import org.coltsfootvale.router.http.HttpEndpoint;
import org.coltsfootvale.router.http.LimitedConnections;
import org.coltsfootvale.router.http.ServingLoop;
import org.coltsfootvale.router.metrics.MetricsPage;

/** The listeners beside those of callers and peers: directory, readiness and metrics. */
final class AuxiliaryListeners implements Service {

  private final EntrySettings settings;
  private final ServingLoop loop;
  private final LongSupplier nanoTime;
  private final DecisionLog log;
  private final List<EndpointListener> endpoints;
  private final Optional<MonitoringListener> monitoring;

  AuxiliaryListeners(
      EntrySettings settings,
      ServingLoop loop,
      EntryFormats formats,
      EntryPoints entryPoints,
      MetricsPage page,
      StateReport report,
      PromptQuarantine quarantine,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.settings = settings;
    this.loop = loop;
    this.nanoTime = nanoTime;
    this.log = log;
    endpoints =
        List.of(
            listener("directory", settings.directoryAddress(), formats.directory(entryPoints)),
            listener("readiness", settings.readinessAddress(), formats.readiness(entryPoints)));
    monitoring =
        settings
            .metrics()
            .map(
                at ->
                    new MonitoringListener(
                        loop,
                        at,
                        page,
                        report,
                        quarantine,
                        settings.fleetSecret(),
                        limited("metrics"),
                        nanoTime));
  }

  private EndpointListener listener(String name, HostPort address, HttpEndpoint endpoint) {
    return new EndpointListener(loop, address, loop.group(), endpoint, limited(name), nanoTime);
  }

  private LimitedConnections limited(String name) {
    return new LimitedConnections(
        name, ConnectionLimit.ofEndpoint(settings.descriptors()), nanoTime, log);
  }

  @Override
  public void start() {
    endpoints.forEach(EndpointListener::start);
    monitoring.ifPresent(MonitoringListener::start);
  }

  @Override
  public void stop() {
    endpoints.forEach(EndpointListener::stop);
    monitoring.ifPresent(MonitoringListener::stop);
  }

  /** Closes connections on which callers have been idle or slow for too long. */
  void sweep() {
    endpoints.forEach(EndpointListener::sweep);
    monitoring.ifPresent(MonitoringListener::sweep);
  }
}
