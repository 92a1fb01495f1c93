package org.coltsfootvale.verify.cost;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Sends chats to an engine, directly or through the router. */
final class LoadGenerator {

  private static final int FAILED = 0;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicLong requests = new AtomicLong();

  /** Creates a request for an answer with a number of chunks; each request starts a new chat. */
  HttpRequest request(URI target, int chunks, boolean paced) {
    long number = requests.incrementAndGet();
    String body =
        "{\"model\":\""
            + MeasuredRouter.MODEL
            + "\",\"stream\":true,\"max_tokens\":"
            + chunks
            + ",\"paced\":"
            + paced
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"Which heron is this?\"}]}";
    return HttpRequest.newBuilder(target.resolve("/v1/chat/completions"))
        .header("Authorization", "Bearer " + MeasuredRouter.KEY)
        .header("X-Request-Id", "direct-" + number)
        .header("Coltsfootvale-Chat", "chat-" + number)
        .header("Coltsfootvale-Deadline-Millis", "600000")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  /** Sends a request; the future completes with whether the answer was complete. */
  CompletableFuture<Boolean> send(HttpRequest request) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((answer, failure) -> failure == null && isComplete(answer));
  }

  private static boolean isComplete(HttpResponse<String> answer) {
    return answer.statusCode() == 200 && answer.body().endsWith("data: [DONE]\n\n");
  }

  /**
   * Opens a stream and counts its events; the future completes with the HTTP status when the stream
   * ends, or with 0 if it failed.
   */
  CompletableFuture<Integer> openStream(HttpRequest request, LongAdder events) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(new EventCounter(events)))
        .handle((answer, failure) -> failure == null ? answer.statusCode() : FAILED);
  }

  private record EventCounter(LongAdder events) implements Flow.Subscriber<String> {

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      if (line.startsWith("data: {")) {
        events.increment();
      }
    }

    @Override
    public void onError(Throwable failure) {}

    @Override
    public void onComplete() {}
  }
}
