package org.coltsfootvale.testkit.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.coltsfootvale.testkit.support.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@SuppressWarnings("NullAway.Init")
public class CallersProgramTest {

  private static final int CHAT_REQUESTS_MIN = 10;
  private static final int KEYED_REQUESTS_MIN = 6;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private FakeFleet fleet;

  @BeforeMethod
  public void startFleet() {
    out.reset();
    fleet = new FakeFleet();
    fleet.start();
  }

  @AfterMethod
  public void stopFleet() {
    fleet.stop();
  }

  @Test
  public void aCorrectFleetCausesNoViolations() throws InterruptedException {
    assertEquals(run(), 0, report());
    assertTrue(report().matches("(?s).*diary whole +[1-9].*"), report());
    assertTrue(report().matches("(?s).*keyed done +[1-9].*"), report());
  }

  @Test
  public void anEntryAnswerIsKeptForItsLifetime() throws InterruptedException {
    run();
    assertEquals(fleet.entryAnswers(), 2);
  }

  @DataProvider
  public Object[][] violations() {
    return new Object[][] {
      {Fault.CROSSED, "diary wrong +1"}, {Fault.TRUNCATED, "diary truncated +1"},
    };
  }

  @Test(dataProvider = "violations")
  public void aWrongOrTruncatedAnswerIsAViolation(Fault fault, String line)
      throws InterruptedException {
    fleet.faults().arm(fault, 1);
    assertEquals(run(), 1, report());
    assertTrue(report().matches("(?s).*" + line + ".*"), report());
  }

  @Test
  public void aRefusedRequestIsRetriedWithoutViolation() throws InterruptedException {
    fleet.faults().arm(Fault.REFUSE, 1);
    assertEquals(run(), 0, report());
    assertTrue(report().matches("(?s).*diary not run +1.*"), report());
    assertTrue(report().matches("(?s).*problem OVERLOADED +1.*"), report());
  }

  @Test
  public void aLostReplyIsRetriedWithTheSameKey() throws InterruptedException {
    fleet.faults().arm(Fault.REPLY_LOST, 1);
    assertEquals(run(), 0, report());
    assertTrue(report().matches("(?s).*keyed connection lost +1.*"), report());
  }

  @Test
  public void aKeyThatRanTwiceIsAViolation() throws InterruptedException {
    fleet.repeatKeys();
    fleet.faults().arm(Fault.REPLY_LOST, 1);
    assertTrue(run() > 0, report());
    assertTrue(report().matches("(?s).*ran more than once +1.*"), report());
  }

  @Test
  public void aPlanIsReadFromYaml() {
    Plan plan = Plan.read(plan("http://127.0.0.1:1"));
    assertEquals(plan.chats().get(0).requestClass(), "report");
    assertEquals(plan.keyed().paths(), List.of("/bookings"));
  }

  private long run() throws InterruptedException {
    Plan plan = Plan.read(plan(fleet.url()));
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    return new CallersProgram(plan, List.of(fleet.url()), Optional.empty(), stream, this::isEnough)
        .run();
  }

  private boolean isEnough() {
    return fleet.chatRequests() >= CHAT_REQUESTS_MIN && fleet.keyedRequests() >= KEYED_REQUESTS_MIN;
  }

  private String report() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String plan(String url) {
    return """
        seed: 1
        durationSeconds: 1
        callers: 2
        model: m
        organisations: [{id: o, key: k, share: 1}]
        chats:
          - name: diary
            requestClass: report
            concurrent: 2
            firstTokens: 20
            turnTokens: 5
            answerTokens: 10
            turns: 3
            pauseMillis: 20
        keyed: {service: portal, paths: [/bookings], perSecond: 10}
        fleet: {platform: "%s", engines: [], services: ["%s"], routers: []}
        """
        .formatted(url, url);
  }
}
