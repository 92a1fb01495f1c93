package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.coltsfootvale.testkit.support.Json;

/** Exports and imports the cached prefixes of chats between engine stand-ins. */
final class CacheTransfer {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long BYTES_PER_TOKEN = 131_072;

  private final OkHttpClient client = new OkHttpClient();

  /** Returns the export of the cached blocks of a chat. */
  static ObjectNode export(String chat, List<PrefixCache.Block> blocks) {
    long tokens = tokens(blocks);
    ObjectNode answer =
        Json.object()
            .put("chat", chat)
            .put("tokens", tokens)
            .put("bytes", tokens * BYTES_PER_TOKEN);
    ArrayNode list = answer.putArray("blocks");
    for (PrefixCache.Block block : blocks) {
      list.addObject().put("hash", Long.toString(block.hash())).put("tokens", block.tokens());
    }
    return answer;
  }

  /**
   * Fetches a chat's cached blocks from another engine; the future yields none if it has none or
   * fails.
   */
  CompletableFuture<List<PrefixCache.Block>> fetch(String from, String chat) {
    String base = from.contains("://") ? from : "http://" + from;
    String body = Json.write(Json.object().put("chat", chat));
    Request request =
        new Request.Builder()
            .url(base + "/cache/export")
            .post(RequestBody.create(body, JSON))
            .build();
    CompletableFuture<List<PrefixCache.Block>> result = new CompletableFuture<>();
    client.newCall(request).enqueue(new ExportCallback(result));
    return result;
  }

  static long tokens(List<PrefixCache.Block> blocks) {
    return blocks.stream().mapToLong(PrefixCache.Block::tokens).sum();
  }

  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private record ExportCallback(CompletableFuture<List<PrefixCache.Block>> result)
      implements Callback {

    @Override
    public void onFailure(Call call, IOException e) {
      result.complete(List.of());
    }

    @Override
    public void onResponse(Call call, Response response) throws IOException {
      try (response) {
        List<PrefixCache.Block> blocks = new ArrayList<>();
        JsonNode answer = Json.parseObject(response.body().string());
        for (JsonNode block : answer.path("blocks")) {
          blocks.add(
              new PrefixCache.Block(block.path("hash").asLong(), block.path("tokens").asInt()));
        }
        result.complete(blocks);
      } catch (IOException | IllegalArgumentException e) {
        result.complete(List.of());
      }
    }
  }
}
