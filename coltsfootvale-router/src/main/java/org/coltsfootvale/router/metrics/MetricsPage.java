package org.coltsfootvale.router.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;

/** Renders metrics in the Prometheus text format. */
public final class MetricsPage {

  private final DecisionMetrics decisions;
  private final MeteredStore store;
  private final PeerMessageMetrics peerMessages;

  /**
   * Creates a page.
   *
   * @param decisions the counts of decisions
   * @param store the counts of calls to the store
   * @param peerMessages the counts of messages to other routers
   */
  public MetricsPage(
      DecisionMetrics decisions, MeteredStore store, PeerMessageMetrics peerMessages) {
    this.decisions = decisions;
    this.store = store;
    this.peerMessages = peerMessages;
  }

  /**
   * Renders all metrics.
   *
   * @param samples the gauge values sampled from the router for this page
   */
  public String render(List<GaugeSample> samples) {
    // A registry per page: pages are rare, and the library is not loaded at startup.
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    decisions.bindTo(registry);
    store.bindTo(registry);
    peerMessages.bindTo(registry);
    for (GaugeSample sample : samples) {
      Tags tags = Tags.empty();
      for (var label : sample.labels().entrySet()) {
        tags = tags.and(label.getKey(), label.getValue());
      }
      Gauge.builder(sample.name(), sample::value).tags(tags).register(registry);
    }
    return registry.scrape();
  }
}
