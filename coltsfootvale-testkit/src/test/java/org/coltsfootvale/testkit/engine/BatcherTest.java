package org.coltsfootvale.testkit.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.testkit.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BatcherTest {

  private final List<String> ended = new ArrayList<>();

  @BeforeMethod
  public void clearEndedRequests() {
    ended.clear();
  }

  @Test
  public void quickRequestsOvertakeReportsInTheQueue() {
    Batcher batcher = batcher(10, 1, 1_000);
    submit(batcher, "report", 2, 100);
    submit(batcher, "quick", 0, 100);
    batcher.advance(Duration.ofSeconds(10));
    assertEquals(ended, List.of("quick"));
    batcher.advance(Duration.ofSeconds(10));
    assertEquals(ended, List.of("quick", "report"));
  }

  @Test
  public void aFullEngineRefuses() {
    Batcher batcher = batcher(1, 1, 1_000);
    assertTrue(submit(batcher, "a", 0, 4));
    assertFalse(submit(batcher, "b", 0, 4));
  }

  @Test
  public void aCancelledRequestEndsAtOnceAndFreesItsSlot() {
    Batcher batcher = batcher(1, 1, 1_000);
    submit(batcher, "a", 0, 4);
    assertTrue(batcher.cancel("a"));
    assertFalse(batcher.cancel("a"));
    assertEquals(ended, List.of("a"));
    assertTrue(submit(batcher, "b", 0, 4));
  }

  @Test
  public void theChatLeastRecentlyUsedIsEvicted() {
    Batcher batcher = batcher(10, 4, 300);
    run(batcher, "a", 400);
    run(batcher, "b", 400);
    run(batcher, "a2", "a", 400);
    run(batcher, "c", 400);
    assertTrue(batcher.export("a").size() > 0);
    assertTrue(batcher.export("b").isEmpty());
    assertTrue(batcher.load().cachedTokens() <= 300);
  }

  @Test
  public void cacheEventsAreLateAndHaveGaps() {
    ManualClock clock = new ManualClock();
    CacheEvents events = new CacheEvents(clock, 1_000, 2);
    events.add("a", 1, true);
    events.add("b", 1, true);
    events.add("c", 1, false);
    assertEquals(events.toJson(0).path("events").size(), 0);
    clock.advance(Duration.ofSeconds(1));
    assertEquals(events.toJson(0).path("events").size(), 2);
    assertEquals(events.toJson(0).path("next").asLong(), 3);
    assertEquals(events.toJson(1).path("events").path(0).path("kind").asText(), "evicted");
  }

  private Batcher batcher(int capacity, int batch, long cacheTokens) {
    EngineOptions options =
        EngineOptions.of("e", 0).withCapacity(capacity, batch).withCacheTokens(cacheTokens);
    return new Batcher(options, (chat, tokens, stored) -> {});
  }

  private void run(Batcher batcher, String chat, int characters) {
    run(batcher, chat, chat, characters);
  }

  private void run(Batcher batcher, String requestId, String chat, int characters) {
    batcher.submit(completion(requestId, chat, 0, characters), Integer.MAX_VALUE);
    batcher.advance(Duration.ofSeconds(10));
  }

  private boolean submit(Batcher batcher, String requestId, int priority, int characters) {
    Completion completion = completion(requestId, requestId, priority, characters);
    boolean accepted = batcher.submit(completion, Integer.MAX_VALUE);
    batcher.attach(completion, 0, new EndListener(requestId));
    return accepted;
  }

  private static Completion completion(
      String requestId, String chat, int priority, int characters) {
    Message message = new Message("user", "x".repeat(characters));
    Prompt prompt = new Prompt("m", chat, List.of(message), 8, true);
    return new Completion(requestId, prompt, priority, AnswerText.tokens(prompt));
  }

  private final class EndListener implements Completion.Listener {

    private final String requestId;

    EndListener(String requestId) {
      this.requestId = requestId;
    }

    @Override
    public void onToken(int index, String text) {}

    @Override
    public void onEnd(Completion completion) {
      ended.add(requestId);
    }
  }
}
