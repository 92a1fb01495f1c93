package org.coltsfootvale.core.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;

/**
 * Replays a trace in JSON Lines through the decision code. Each line is one {@link TraceEvent};
 * empty lines and lines that start with {@code #} are skipped.
 */
public final class TraceReplay {

  private static final ObjectReader READER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build()
          .readerFor(TraceEvent.class);

  /** Creates a replayer. */
  public TraceReplay() {}

  /**
   * Replays a trace from its beginning.
   *
   * @throws ColtsfootvaleException MALFORMED_REQUEST with the line, if a line is not an event or
   *     refers to something that the trace has not introduced
   */
  public ReplayReport replay(List<String> lines) {
    ReplayEnvironment environment = new ReplayEnvironment();
    List<ReplayReport.Mismatch> mismatches = new ArrayList<>();
    int events = 0;
    int checked = 0;
    for (int number = 1; number <= lines.size(); number++) {
      String line = lines.get(number - 1).strip();
      if (line.isEmpty() || line.startsWith("#")) {
        continue;
      }
      TraceEvent event = parse(line, number);
      String actual = perform(environment, event, number);
      events++;
      String expected = event.expect();
      if (expected == null) {
        continue;
      }
      checked++;
      if (!expected.equals(actual)) {
        mismatches.add(new ReplayReport.Mismatch(number, line, expected, actual));
      }
    }
    return new ReplayReport(events, checked, mismatches);
  }

  private static String perform(ReplayEnvironment environment, TraceEvent event, int number) {
    try {
      return environment.perform(event);
    } catch (IllegalArgumentException e) {
      throw malformed("Line " + number + ": " + e.getMessage() + ".", e);
    }
  }

  private static TraceEvent parse(String line, int number) {
    try {
      return READER.readValue(line);
    } catch (JsonProcessingException e) {
      throw malformed("Line " + number + " is not an event: " + e.getOriginalMessage(), e);
    }
  }

  private static ColtsfootvaleException malformed(String detail, Throwable cause) {
    return new ColtsfootvaleException(
        ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN, detail, null, cause);
  }
}
