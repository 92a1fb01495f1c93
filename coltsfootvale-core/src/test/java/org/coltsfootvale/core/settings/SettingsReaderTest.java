package org.coltsfootvale.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.Test;

public class SettingsReaderTest {

  private static final String VALID =
      """
      router:
        id: router-1
        dataCentre: espoo
      listen:
        callers: 127.0.0.1:8001
        peers: 127.0.0.1:7001
      platform:
        keyValueUrl: http://127.0.0.1:2379
        weightsUrl: http://127.0.0.1:2379
        hostsUrl: http://127.0.0.1:2379
      security:
        fleetSecrets: [0123456789abcdef0123456789abcdef]
        bootstrapOperatorTokenHash: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
      """;

  private final SettingsReader reader = new SettingsReader();

  @Test
  public void missingSettingsUseDefaults() {
    RouterSettings settings = reader.read(VALID);
    assertEquals(settings.listen().callers().port(), 8001);
    assertEquals(settings.requests().bodyBytesMax(), 4_194_304);
  }

  @Test
  public void unknownKeyIsRefusedWithLineAndKnownKeys() {
    SettingsException error = readRefused(VALID.replace("  id: router-1", "  id: a\n  idd: b"));
    assertEquals(error.line(), 3);
    assertTrue(error.getMessage().contains("unknown key 'idd'"), error.getMessage());
    assertTrue(error.getMessage().contains("dataCentre"), error.getMessage());
  }

  @Test
  public void missingKeyIsRefusedWithName() {
    SettingsException error = readRefused(VALID.replace("  dataCentre: espoo\n", ""));
    assertTrue(error.getMessage().contains("dataCentre"), error.getMessage());
  }

  @Test
  public void valueOutOfRangeIsRefusedWithLineAndRange() {
    SettingsException error = readRefused(VALID + "control:\n  probeMillis: 1\n");
    assertEquals(error.line(), 15);
    assertTrue(error.getMessage().contains("probeMillis must be in 50"), error.getMessage());
  }

  @Test
  public void valueWithUnitIsRefusedWithLine() {
    SettingsException error = readRefused(VALID + "control:\n  probeMillis: 2s\n");
    assertEquals(error.line(), 15);
    assertTrue(error.getMessage().contains("probeMillis"), error.getMessage());
  }

  @Test
  public void addressWithoutPortIsRefusedWithLine() {
    SettingsException error = readRefused(VALID.replace("127.0.0.1:8001", "127.0.0.1"));
    assertEquals(error.line(), 5);
    assertTrue(error.getMessage().contains("host:port"), error.getMessage());
  }

  @Test
  public void invalidYamlIsRefusedWithLine() {
    SettingsException error = readRefused("router: [\n");
    assertTrue(error.line() > 0, error.getMessage());
  }

  private SettingsException readRefused(String yaml) {
    return expectThrows(SettingsException.class, () -> reader.read(yaml));
  }
}
