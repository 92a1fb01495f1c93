package org.coltsfootvale.verify.cost;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Sends chats to engines directly or through the router. */
final class Load {

  private static final int FAILED = 0;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicLong requests = new AtomicLong();

  /** Returns a request for an answer of some chunks; each request belongs to a chat of its own. */
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

  /** Sends a request and completes with whether the whole answer arrived. */
  CompletableFuture<Boolean> send(HttpRequest request) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((answer, failure) -> failure == null && whole(answer));
  }

  private static boolean whole(HttpResponse<String> answer) {
    return answer.statusCode() == 200 && answer.body().endsWith("data: [DONE]\n\n");
  }

  /**
   * Opens a stream whose events are counted; completes with the status when it ends, or with 0 if
   * it broke off.
   */
  CompletableFuture<Integer> stream(HttpRequest request, LongAdder events) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(new Counting(events)))
        .handle((answer, failure) -> failure == null ? answer.statusCode() : FAILED);
  }

  private record Counting(LongAdder events) implements Flow.Subscriber<String> {

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
