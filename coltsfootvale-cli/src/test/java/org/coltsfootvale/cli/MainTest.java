package org.coltsfootvale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@SuppressWarnings("NullAway.Init")
public class MainTest {

  private static final String NOT_IN_FORCE =
      "{\"id\":\"n1\",\"revision\":2,\"inForceEverywhere\":false,\"routers\":["
          + "{\"router\":\"r1\",\"appliedRevision\":2,\"liveness\":\"LIVE\"},"
          + "{\"router\":\"r2\",\"appliedRevision\":1,\"liveness\":\"LIVE\"}]}";
  private static final String IN_FORCE =
      "{\"id\":\"n1\",\"revision\":2,\"inForceEverywhere\":true,\"routers\":[]}";

  private static final String TRACE =
      """
      {"event":"start","router":"a","incarnation":1}
      {"event":"request","router":"a","run":"r","organisation":"o","key":"k","expect":"run"}
      """;
  private static final String SETTINGS =
      """
      router:
        id: r1
        dataCentre: d1
      listen:
        callers: 127.0.0.1:8080
        peers: 127.0.0.1:9080
      platform:
        keyValueUrl: http://127.0.0.1:2379
        weightsUrl: http://127.0.0.1:2379
        hostsUrl: http://127.0.0.1:2379
      security:
        fleetSecrets: [0123456789abcdef0123456789abcdef]
        bootstrapOperatorTokenHash: %s
      """
          .formatted("a".repeat(64));

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private FakeRouter router;
  private Path note;

  @BeforeMethod
  public void startRouter() throws IOException {
    out.reset();
    err.reset();
    router = new FakeRouter();
    note = Files.createTempFile("note", ".yaml");
    Files.writeString(note, "id: n1\n");
  }

  @AfterMethod
  public void stopRouter() throws IOException {
    router.close();
    Files.delete(note);
  }

  @Test
  public void aSubmittedNoteIsSentWithTheTokenAndItsRevisionShown() {
    router.prepareAnswer("POST /v1/notes", 201, "{\"id\":\"n1\",\"revision\":2}");
    assertEquals(run("note", "submit", "--token", "t", note.toString()), ExitCode.OK);
    assertEquals(router.requests(), List.of("POST /v1/notes Bearer t"));
    assertTrue(out().contains("n1 is accepted as revision 2"), out());
  }

  @Test
  public void aRefusedNoteShowsTheDetailAndTheRemedy() {
    router.prepareAnswer(
        "POST /v1/notes",
        422,
        "{\"title\":\"INVALID_NOTE\",\"detail\":\"line 3\",\"remedy\":\"Correct it.\","
            + "\"outcome\":\"not_run\"}");
    assertEquals(run("note", "submit", note.toString()), ExitCode.REFUSED);
    assertTrue(err().contains("INVALID_NOTE: line 3"), err());
    assertTrue(err().contains("Correct it."), err());
  }

  @Test
  public void aWaitEndsWhenTheNoteIsInForceEverywhere() {
    router.prepareAnswer("GET /v1/notes/n1/status", 200, NOT_IN_FORCE);
    router.prepareAnswer("GET /v1/notes/n1/status", 200, IN_FORCE);
    assertEquals(run("note", "status", "--wait", "n1"), ExitCode.OK);
    assertEquals(router.requests().size(), 2);
  }

  @Test
  public void aWaitThatEndsEarlyNamesTheRoutersThatLag() {
    router.prepareAnswer("GET /v1/notes/n1/status", 200, NOT_IN_FORCE);
    ExitCode code = run("note", "status", "--wait", "--wait-millis", "1", "n1");
    assertEquals(code, ExitCode.TIMED_OUT);
    assertTrue(out().contains("r2"), out());
    assertTrue(out().contains("lags"), out());
  }

  @Test
  public void aStatusWithoutWaitIsDoneEvenIfRoutersLag() {
    router.prepareAnswer("GET /v1/notes/n1/status", 200, NOT_IN_FORCE);
    assertEquals(run("note", "status", "n1"), ExitCode.OK);
  }

  @Test
  public void aCheckListsTheChanges() {
    router.prepareAnswer(
        "POST /v1/notes?check=true", 200, "{\"id\":\"n1\",\"changes\":[\"add x\"]}");
    assertEquals(run("note", "check", note.toString()), ExitCode.OK);
    assertTrue(out().contains("add x"), out());
  }

  @Test
  public void theHistoryShowsRevisionAndTime() {
    router.prepareAnswer(
        "GET /v1/notes?from=1&limit=100",
        200,
        "{\"notes\":[{\"id\":\"n1\",\"revision\":1,\"acceptedAt\":\"2026-01-01T00:00:00Z\"}]}");
    assertEquals(run("note", "history"), ExitCode.OK);
    assertTrue(out().contains("2026-01-01T00:00:00Z  n1"), out());
  }

  @Test
  public void theCompleteAnswerIsPrinted() {
    prepareEntry();
    router.prepareAnswer(
        "POST /v1/chat/completions", 200, chunk("Red") + chunk("shank") + "data: [DONE]\n\n");
    assertEquals(run("ask", "--model", "m", "which wader"), ExitCode.OK);
    assertTrue(out().contains("Redshank"), out());
    assertTrue(err().contains("continuation tok"), err());
  }

  @Test
  public void aStreamWithoutEndMarkerIsReportedAsIncomplete() {
    prepareEntry();
    router.prepareAnswer("POST /v1/chat/completions", 200, chunk("Red"));
    assertEquals(run("ask", "--model", "m", "which wader"), ExitCode.OUTCOME_UNKNOWN);
    assertTrue(err().contains("INCOMPLETE_ANSWER"), err());
  }

  @Test
  public void anErrorEventInAStreamIsShownWithItsOutcome() {
    prepareEntry();
    String problem = "{\"title\":\"BACKEND_FAILED\",\"detail\":\"d\",\"outcome\":\"unknown\"}";
    router.prepareAnswer(
        "POST /v1/chat/completions", 200, chunk("Red") + "event: error\ndata: " + problem + "\n\n");
    assertEquals(run("ask", "--model", "m", "which wader"), ExitCode.OUTCOME_UNKNOWN);
    assertTrue(err().contains("BACKEND_FAILED"), err());
  }

  @Test
  public void theNextAddressIsTriedWhenOneCannotBeConnectedTo() {
    router.prepareAnswer("GET /state", 200, "{\"release\":{\"revision\":4}}");
    String addresses = "http://127.0.0.1:1," + router.url();
    ExitCode code = runRaw("state", "--router", addresses, "--path", "release.revision");
    assertEquals(code, ExitCode.OK);
    assertEquals(out().strip(), "4");
  }

  @Test
  public void errorsArePrintedAsJsonIfRequested() throws IOException {
    ExitCode code = runRaw("entry", "--router", "http://127.0.0.1:1", "--output", "json");
    assertEquals(code, ExitCode.UNREACHABLE);
    JsonNode error = new ObjectMapper().readTree(err());
    assertEquals(error.path("kind").asText(), "UNREACHABLE");
    assertTrue(error.path("remedy").asText().contains("--router"));
  }

  @DataProvider
  public Object[][] wrongUsage() {
    return new Object[][] {
      {new String[] {"not", "submit"}, ExitCode.USAGE, "there is no command 'not submit'"},
      {new String[] {"note", "submit"}, ExitCode.USAGE, "the command needs"},
      {new String[] {"note", "submit", "/none"}, ExitCode.INVALID_FILE, "cannot read"},
      {new String[] {"note", "check", "a", "b"}, ExitCode.USAGE, "has 2 arguments"},
      {new String[] {"note", "status"}, ExitCode.USAGE, "the id of a release note"},
      {new String[] {"note", "history", "--limit", "x"}, ExitCode.USAGE, "--limit is 'x'"},
      {new String[] {"note", "history", "--bad"}, ExitCode.USAGE, "--bad"},
      {new String[] {"entry", "x"}, ExitCode.USAGE, "unexpected argument 'x'"},
      {new String[] {"entry", "--router", "nowhere"}, ExitCode.USAGE, "not the address"},
      {new String[] {"entry", "--output", "xml"}, ExitCode.USAGE, "--output is 'xml'"},
      {new String[] {"ask", "hello"}, ExitCode.USAGE, "--model is missing"},
      {new String[] {"ask", "--model", "m", "--class", "x", "t"}, ExitCode.USAGE, "--class"},
      {new String[] {"settings", "check", "/none"}, ExitCode.INVALID_FILE, "cannot read"},
    };
  }

  @Test(dataProvider = "wrongUsage")
  public void usageErrorsNameTheCauseAndTheRemedy(
      String[] arguments, ExitCode expected, String message) {
    assertEquals(runRaw(arguments), expected);
    assertTrue(err().contains(message), err());
  }

  @Test
  public void invalidSettingsAreRefusedWithTheLine() throws IOException {
    Files.writeString(note, SETTINGS);
    assertEquals(run("settings", "check", note.toString()), ExitCode.OK, err());
    Files.writeString(note, SETTINGS + "logging:\n  colour: red\n");
    assertEquals(run("settings", "check", note.toString()), ExitCode.INVALID_FILE);
    assertTrue(err().contains("line 15"), err());
  }

  @Test
  public void aMatchingTraceIsAccepted() throws IOException {
    Files.writeString(note, TRACE);
    assertEquals(run("replay", note.toString()), ExitCode.OK, err());
    assertTrue(out().contains("2 events, 1 outcomes checked, 0 differ"), out());
  }

  @Test
  public void aTraceMismatchIsReportedWithItsLine() throws IOException {
    Files.writeString(note, TRACE.replace("\"run\"}", "\"attach\"}"));
    assertEquals(run("replay", note.toString()), ExitCode.MISMATCHED);
    assertTrue(out().contains(":2: expected 'attach', but was 'run'"), out());
  }

  @Test
  public void anInvalidTraceLineIsReportedWithItsNumber() throws IOException {
    Files.writeString(note, TRACE + "{}\n");
    assertEquals(run("replay", note.toString()), ExitCode.INVALID_FILE);
    assertTrue(err().contains("Line 3"), err());
  }

  @Test
  public void everyCommandHasHelpWithExamples() {
    for (String name :
        List.of(
            "note check",
            "note submit",
            "note status",
            "note history",
            "entry",
            "ask",
            "state",
            "settings check",
            "replay",
            "explain",
            "summary")) {
      out.reset();
      List<String> arguments = new ArrayList<>(Arrays.asList(name.split(" ", -1)));
      arguments.add("--help");
      assertEquals(runRaw(arguments.toArray(new String[0])), ExitCode.OK);
      assertTrue(out().contains("coltsfootvale " + name), out());
    }
  }

  private void prepareEntry() {
    router.prepareAnswer("GET /v1/entry", 200, "{\"addresses\":[\"" + router.url() + "\"]}");
  }

  private static String chunk(String text) {
    return "data: {\"choices\":[{\"delta\":{\"content\":\""
        + text
        + "\"}}],"
        + "\"coltsfootvale\":{\"continuation\":\"tok\"}}\n\n";
  }

  private ExitCode run(String... arguments) {
    List<String> all = new ArrayList<>(Arrays.asList(arguments));
    all.add("--router");
    all.add(router.url());
    return runRaw(all.toArray(new String[0]));
  }

  private ExitCode runRaw(String... arguments) {
    PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
    return new Main(Map.of(), outStream, errStream).run(arguments);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
