package org.coltsfootvale.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/** An open watch: a chunked response with a JSON object on each line. */
final class WatchCall implements KeyValueStore.Watch, Callback {

  private final ObjectMapper mapper;
  private final KeyValueStore.WatchListener listener;
  private final Call call;
  private volatile boolean closed;

  private WatchCall(Call call, ObjectMapper mapper, KeyValueStore.WatchListener listener) {
    this.call = call;
    this.mapper = mapper;
    this.listener = listener;
  }

  static WatchCall open(
      OkHttpClient client,
      Request request,
      ObjectMapper mapper,
      KeyValueStore.WatchListener listener) {
    WatchCall watch = new WatchCall(client.newCall(request), mapper, listener);
    watch.call.enqueue(watch);
    return watch;
  }

  @Override
  public void close() {
    closed = true;
    call.cancel();
  }

  @Override
  public void onFailure(Call failedCall, IOException e) {
    end("watch call failed: " + e.getMessage(), e);
  }

  @Override
  public void onResponse(Call answeredCall, Response response) {
    try (response) {
      if (!response.isSuccessful()) {
        end("watch call returned status " + response.code(), null);
        return;
      }
      readEvents(response.body().source());
    } catch (IOException e) {
      end("watch connection lost: " + e.getMessage(), e);
    }
  }

  private void readEvents(BufferedSource source) throws IOException {
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (line.isBlank()) {
        continue;
      }
      JsonNode result = mapper.readTree(line).path("result");
      if (result.path("canceled").asBoolean(false)) {
        end("the platform cancelled the watch", null);
        return;
      }
      result.path("events").forEach(this::onEvent);
    }
    end("the platform closed the watch stream", null);
  }

  private void onEvent(JsonNode event) {
    boolean put = event.path("type").asText("PUT").equals("PUT");
    if (put && !closed) {
      listener.onPut(EtcdGatewayStore.readValue(event.path("kv")));
    }
  }

  private void end(String detail, @Nullable Throwable cause) {
    if (!closed) {
      closed = true;
      listener.onEnd(new PlatformException(detail, false, cause));
    }
  }
}
