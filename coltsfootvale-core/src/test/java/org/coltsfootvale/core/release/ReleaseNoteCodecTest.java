package org.coltsfootvale.core.release;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Instant;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReleaseNoteCodecTest {

  private final ReleaseNoteCodec codec = new YamlReleaseNoteCodec();

  @Test
  public void acceptedNoteRoundTripsThroughCompactForm() {
    AcceptedNote note = new AcceptedNote(7, Notes.fleet(), Instant.ofEpochMilli(1_234_567));
    assertEquals(codec.read(codec.write(note)), note);
  }

  @Test
  public void policyAndWithdrawnIdsRoundTripThroughCompactForm() {
    ReleaseNote note =
        codec.readYaml(
            """
            id: both
            changed:
              policy: {loadBound: 1.5, candidates: 4}
            withdrawn:
              engines: [engine-1]
            """);
    AcceptedNote accepted = new AcceptedNote(1, note, Instant.EPOCH);
    assertEquals(codec.read(codec.write(accepted)), accepted);
    assertEquals(note.changed().policy(), new PolicySpec(1.5, 4));
  }

  @DataProvider
  public Object[][] invalidNotes() {
    String fleet = Notes.fleetYaml();
    return new Object[][] {
      {"", "empty"},
      {"id: [", "Line"},
      {"id: a\nadded:\n  modles: []\n", "Line 3, field 'added.modles' is not known"},
      {fleet.replace("prefillTokensPerSecond", "prefillRate"), "prefillTokensPerSecond"},
      {fleet.replace("prefillTokensPerSecond: 8000", "prefillTokensPerSecond: 8k"), "unit"},
      {fleet.replace("bodyBytesMax: 65536", "bodyBytesMax: 64.5"), "bodyBytesMax"},
      {fleet.replace("bodyBytesMax: 65536", "bodyBytesMax: \"65536\""), "bodyBytesMax"},
      {fleet.replace("bodyBytesMax: 65536", "bodyKilobytesMax: 64"), "bodyBytesMax"},
      {fleet.replace("    weight: 1\n", "    weight:\n"), "weight"},
      {fleet.replace("      weight: 1\n", ""), "weight"},
      {fleet.replace("checksFencing: true", "checksFencing: maybe"), "true or false"},
      {fleet.replace("id: fleet\n", ""), "id"},
      {fleet.replace("id: reserve", "id: \"a b\""), "letters"},
      {fleet.replace("id: fleet", "id: fleet\nid: twice"), "Duplicate"},
      {"id: p\nadded:\n  policy: {loadBound: 2, candidates: 1}\n", "'changed'"},
      {"id: a\n---\nid: b\n", "Line"},
    };
  }

  @Test(dataProvider = "invalidNotes")
  public void invalidNoteIsRefusedWithLocationAndRemedy(String yaml, String expected) {
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> codec.readYaml(yaml));
    assertEquals(e.kind(), ErrorKind.INVALID_NOTE);
    assertTrue(String.valueOf(e.getMessage()).contains(expected), e.getMessage());
  }
}
