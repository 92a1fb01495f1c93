package org.coltsfootvale.verify.docs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.release.DefaultFleetStateReducer;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.FleetStateReducer;
import org.coltsfootvale.core.release.YamlReleaseNoteCodec;
import org.testng.annotations.Test;

/** Runs every example of the operators' documentation page on release notes. */
public class ReleaseNotesPageTest {

  private static final Pattern ACCEPTED = Pattern.compile("(?s)```yaml\n(.*?)```");
  private static final Pattern REFUSED = Pattern.compile("(?s)```yaml refused\n# (.*?)\n(.*?)```");

  private final YamlReleaseNoteCodec codec = new YamlReleaseNoteCodec();
  private final FleetStateReducer reducer = new DefaultFleetStateReducer();

  @Test
  public void examplesAreAcceptedInOrder() throws IOException {
    assertEquals(stateAfterExamples().revision(), 3);
  }

  @Test
  public void refusalMessagesMatchThePage() throws IOException {
    FleetState state = stateAfterExamples();
    List<String> stated = new ArrayList<>();
    List<String> actual = new ArrayList<>();
    Matcher matcher = REFUSED.matcher(page());
    while (matcher.find()) {
      stated.add(matcher.group(1));
      actual.add(refusal(state, matcher.group(2)));
    }
    assertTrue(stated.size() > 10);
    assertEquals(String.join("\n", actual), String.join("\n", stated));
  }

  private FleetState stateAfterExamples() throws IOException {
    FleetState state = FleetState.empty();
    Matcher matcher = ACCEPTED.matcher(page());
    while (matcher.find()) {
      state = reducer.apply(state, codec.readYaml(matcher.group(1)));
    }
    return state;
  }

  private String refusal(FleetState state, String yaml) {
    try {
      reducer.apply(state, codec.readYaml(yaml));
      return "accepted: " + yaml;
    } catch (ColtsfootvaleException e) {
      return e.kind() + ": " + e.getMessage();
    }
  }

  private static String page() throws IOException {
    Path root = Path.of(System.getProperty("basedir", ".")).resolve("..");
    return Files.readString(root.resolve("docs/operators/release-notes.md"));
  }
}
