package org.coltsfootvale.verify.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.replay.ReplayReport;
import org.coltsfootvale.core.replay.TraceReplay;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TraceReplayTest {

  private static final String START = "{\"event\":\"start\",\"router\":\"a\",\"incarnation\":1}";

  private final Path traces =
      Path.of(System.getProperty("basedir", ".")).resolve("src/main/traces");

  @DataProvider
  public Object[][] traces() throws IOException {
    try (Stream<Path> files = Files.list(traces)) {
      return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
    }
  }

  @Test(dataProvider = "traces")
  public void everyExpectedOutcomeIsMet(Path trace) throws IOException {
    ReplayReport report = new TraceReplay().replay(Files.readAllLines(trace));
    assertEquals(report.mismatches(), List.of());
    assertTrue(report.outcomesChecked() > 0);
  }

  @Test
  public void aMismatchIsReportedWithItsLine() {
    String state = "{\"event\":\"state\",\"router\":\"a\",\"expect\":\"7 ready\"}";
    ReplayReport report = new TraceReplay().replay(List.of(START, "# a comment", state));
    assertEquals(
        report.mismatches(),
        List.of(new ReplayReport.Mismatch(3, state, "7 ready", "0 not ready")));
  }

  @DataProvider
  public Object[][] invalidLines() {
    return new Object[][] {
      {"{"},
      {"{\"event\":\"dance\"}"},
      {"{\"event\":\"state\",\"router\":\"b\"}"},
      {"{\"event\":\"send\",\"run\":\"r9\"}"},
      {"{\"event\":\"start\",\"router\":\"b\",\"incarnation\":1,\"extra\":2}"},
    };
  }

  @Test(dataProvider = "invalidLines")
  public void anInvalidLineIsRefusedWithItsNumber(String line) {
    ColtsfootvaleException e =
        expectThrows(
            ColtsfootvaleException.class, () -> new TraceReplay().replay(List.of(START, line)));
    assertTrue(String.valueOf(e.getMessage()).startsWith("Line 2"), e.getMessage());
  }
}
