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
  private final Set<ResponseStream> open = ConcurrentHashMap.newKeySet();

  WatchCalls(Store store) {
    this.store = store;
  }

  /** Sends the changes that a request asks for until the stream is done. */
  void serve(JsonNode request, ResponseStream stream) {
    JsonNode create = StoreJson.field(request, "create_request", "createRequest");
    if (!create.isObject()) {
      throw new IllegalArgumentException("a watch needs a create_request");
    }
    String key = StoreJson.key(create.path("key"));
    String end = StoreCalls.rangeEnd(create, key);
    long from = StoreJson.number(StoreJson.field(create, "start_revision", "startRevision"));
    open.add(stream);
    stream.write(line(StoreJson.answer(store.revision()).put("created", true)));
    Consumer<StoreEvent> listener = event -> send(stream, key, end, event);
    if (!store.listen(from, listener)) {
      stream.write(
          line(
              StoreJson.answer(store.revision())
                  .put("canceled", true)
                  .put("compact_revision", Long.toString(store.revision()))));
      stream.end();
    }
    stream.onDone(
        () -> {
          store.unlisten(listener);
          open.remove(stream);
        });
  }

  /** Cuts every open watch. */
  void cutAll() {
    open.forEach(ResponseStream::cut);
  }

  /** Returns how many watches are open. */
  int openCount() {
    return open.size();
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
