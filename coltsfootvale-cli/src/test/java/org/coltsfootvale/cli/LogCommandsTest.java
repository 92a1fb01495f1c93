package org.coltsfootvale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The commands that evaluate router logs. */
@Test(singleThreaded = true)
public class LogCommandsTest {

  private static final String FIRST =
      """
      {"at":"2026-01-01T00:00:02Z","router":"r1","event":"replica.departed","replica":"e9"}
      prefix {"at":"2026-01-01T00:00:05Z","router":"r1","event":"request.accepted","request":"x"}
      {"at":"2026-01-01T00:00:05.1Z","router":"r1","event":"request.placed","request":"x","replica":"e1"}
      {"at":"2026-01-01T00:00:06Z","router":"r1","event":"attempt.failed","request":"x","replica":"e1","cause":"Connection reset","next":"FAIL"}
      {"at":"2026-01-01T00:00:06Z","router":"r1","event":"request.failed","request":"x","status":502}
      {"at":"2026-01-01T00:00:07Z","router":"r1","event":"request.accepted","requ
      """;

  private static final String SECOND =
      """
      {"at":"2026-01-01T00:00:04Z","router":"r2","event":"request.refused","request":"x","reason":"NO_CAPACITY"}
      {"at":"2026-01-01T00:00:06Z","router":"r2","event":"request.completed","request":"y","status":200}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private Path first = Path.of("unset");
  private Path second = Path.of("unset");

  @BeforeMethod
  void createLogs() throws IOException {
    out.reset();
    err.reset();
    first = Files.createTempFile("router-1", ".log");
    second = Files.createTempFile("router-2", ".log");
    Files.writeString(first, FIRST);
    Files.writeString(second, SECOND);
  }

  @AfterMethod(alwaysRun = true)
  void deleteLogs() throws IOException {
    Files.delete(first);
    Files.delete(second);
  }

  @Test
  public void aRequestIsTracedAcrossRoutersInChronologicalOrder() {
    assertEquals(
        run("explain", "--request", "x", path(first), path(second)), ExitCode.OK, text(err));
    String output = text(out);
    assertTrue(output.indexOf("NO_CAPACITY") < output.indexOf("request.accepted"), output);
    assertTrue(
        output.contains("around  2026-01-01T00:00:02Z r1 replica.departed replica=e9"), output);
    assertTrue(
        output.contains(
            "failed with status 502; last failed attempt: e1 (Connection reset), so FAIL"),
        output);
    assertFalse(output.contains("request=y"), output);
  }

  @Test
  public void anUnknownIdIsReportedWithPossibleCauses() {
    assertEquals(run("explain", "--request", "z", path(first)), ExitCode.NOT_FOUND);
    assertTrue(text(err).contains("logs of all routers"), text(err));
  }

  @Test
  public void aFileWithoutRouterLogLinesIsInvalid() throws IOException {
    Files.writeString(second, "nothing\n");
    assertEquals(run("summary", path(first), path(second)), ExitCode.INVALID_FILE);
  }

  @Test
  public void outcomesAreCountedWithTheirReasons() throws IOException {
    assertEquals(run("summary", "--output", "json", path(first), path(second)), ExitCode.OK);
    JsonNode counts = new ObjectMapper().readTree(text(out));
    assertEquals(counts.path("request.refused NO_CAPACITY").asInt(), 1);
    assertEquals(counts.path("attempt.failed Connection reset -> FAIL").asInt(), 1);
    assertEquals(counts.path("request.completed 200").asInt(), 1);
  }

  private ExitCode run(String... arguments) {
    Main main =
        new Main(
            Map.of(),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return main.run(arguments);
  }

  private static String path(Path file) {
    return file.toString();
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }
}
