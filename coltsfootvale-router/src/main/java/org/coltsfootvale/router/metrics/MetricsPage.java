package org.coltsfootvale.router.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;

/** Writes metrics as text in the format of Prometheus. */
public final class MetricsPage {

  private final DecisionMetrics decisions;
  private final MeteredStore store;

  /**
   * Creates a page.
   *
   * @param decisions the counts of decisions
   * @param store the counts of calls to the store
   */
  public MetricsPage(DecisionMetrics decisions, MeteredStore store) {
    this.decisions = decisions;
    this.store = store;
  }

  /**
   * Returns the text of all metrics.
   *
   * @param readings what is read from the router at this moment
   */
  public String render(List<GaugeSample> readings) {
    // A registry for each page: pages are rare, and a start does not load the library.
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    decisions.bindTo(registry);
    store.bindTo(registry);
    for (GaugeSample reading : readings) {
      Tags tags = Tags.empty();
      for (var label : reading.labels().entrySet()) {
        tags = tags.and(label.getKey(), label.getValue());
      }
      Gauge.builder(reading.name(), reading::value).tags(tags).register(registry);
    }
    return registry.scrape();
  }
}
