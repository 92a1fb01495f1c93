package org.coltsfootvale.router.wiring;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import dagger.Module;
import dagger.Provides;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.List;
import javax.inject.Singleton;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.router.backend.AnswerInterceptor;
import org.coltsfootvale.router.platform.EtcdGatewayStore;
import org.coltsfootvale.router.platform.HostListClient;
import org.coltsfootvale.router.platform.WeightStoreClient;

/** Provides the metrics registry, the JSON mapper and the clients of the platform. */
@Module
final class PlatformModule {

  private static final int CONTROL_CALLS_MAX = 256;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private PlatformModule() {}

  @Provides
  @Singleton
  static PrometheusMeterRegistry prometheus() {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    return registry;
  }

  @Provides
  static MeterRegistry meters(PrometheusMeterRegistry registry) {
    return registry;
  }

  @Provides
  @Singleton
  static ObjectMapper mapper() {
    return JsonMapper.builder()
        .addModule(new JavaTimeModule())
        .addModule(new Jdk8Module())
        .addModule(identifierModule())
        .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
        .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .build();
  }

  /** Returns the HTTP client of control calls; caller requests use separate clients. */
  @Provides
  @Singleton
  static OkHttpClient controlClient() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(CONTROL_CALLS_MAX);
    dispatcher.setMaxRequestsPerHost(CONTROL_CALLS_MAX);
    return new OkHttpClient.Builder()
        .dispatcher(dispatcher)
        .connectTimeout(CONNECT_TIMEOUT)
        .addNetworkInterceptor(AnswerInterceptor::intercept)
        .build();
  }

  @Provides
  @Singleton
  static KeyValueStore keyValueStore(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, RouterSettings settings) {
    return new EtcdGatewayStore(
        client, mapper, meters, settings.platform().keyValueUrl(), timeout(settings));
  }

  @Provides
  @Singleton
  static HostListClient hostListClient(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, RouterSettings settings) {
    return new HostListClient(
        client, mapper, meters, settings.platform().hostsUrl(), timeout(settings));
  }

  @Provides
  @Singleton
  static WeightStoreClient weightStoreClient(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, RouterSettings settings) {
    return new WeightStoreClient(
        client, mapper, meters, settings.platform().weightsUrl(), timeout(settings));
  }

  /** Returns a module that serialises identifiers and addresses as strings. */
  private static SimpleModule identifierModule() {
    SimpleModule module = new SimpleModule();
    for (Class<?> type :
        List.of(
            RouterId.class,
            RouterIncarnation.class,
            EngineId.class,
            DataCentreId.class,
            HostPort.class)) {
      module.addSerializer(type, ToStringSerializer.instance);
    }
    return module;
  }

  private static Duration timeout(RouterSettings settings) {
    return Duration.ofMillis(settings.platform().callTimeoutMillis());
  }
}
