package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.ResponseStream;

/** Serves watches as streams of JSON lines. */
final class WatchCalls {

  private final Store store;
  private final Set<ResponseStream> openStreams = ConcurrentHashMap.newKeySet();

  WatchCalls(Store store) {
    this.store = store;
  }

  /** Sends the changes selected by a request until the stream is done. */
  void serve(JsonNode request, ResponseStream stream) {
    JsonNode create = StoreJson.field(request, "create_request", "createRequest");
    if (!create.isObject()) {
      throw new IllegalArgumentException("a watch needs a create_request");
    }
    String key = StoreJson.key(create.path("key"));
    String end = StoreCalls.rangeEnd(create, key);
    long from = StoreJson.number(StoreJson.field(create, "start_revision", "startRevision"));
    openStreams.add(stream);
    stream.write(line(StoreJson.answer(store.revision()).put("created", true)));
    Consumer<StoreEvent> listener = event -> send(stream, key, end, event);
    if (!store.addListener(from, listener)) {
      stream.write(
          line(
              StoreJson.answer(store.revision())
                  .put("canceled", true)
                  .put("compact_revision", Long.toString(store.revision()))));
      stream.end();
    }
    stream.onDone(
        () -> {
          store.removeListener(listener);
          openStreams.remove(stream);
        });
  }

  /** Closes the connections of all open watches. */
  void cutAll() {
    openStreams.forEach(ResponseStream::cut);
  }

  /** Returns the number of open watches. */
  int openCount() {
    return openStreams.size();
  }

  private static void send(ResponseStream stream, String key, String end, StoreEvent event) {
    String changed = event.entry().key();
    boolean bounded = !end.equals(Store.NO_END);
    if (changed.compareTo(key) < 0 || (bounded && changed.compareTo(end) >= 0)) {
      return;
    }
    ObjectNode answer = StoreJson.answer(event.entry().modRevision());
    answer.putArray("events").add(StoreJson.event(event));
    stream.write(line(answer));
  }

  private static byte[] line(ObjectNode result) {
    ObjectNode answer = Json.object();
    answer.set("result", result);
    return Json.writeLine(answer);
  }
}
