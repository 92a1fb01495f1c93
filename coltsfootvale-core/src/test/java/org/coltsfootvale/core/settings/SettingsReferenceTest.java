package org.coltsfootvale.core.settings;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

public class SettingsReferenceTest {

  private static final Path PAGE = Path.of("..", "docs", "operators", "settings.md");
  private static final Pattern KEY = Pattern.compile("`([a-zA-Z]+(?:\\[])?(?:\\.[a-zA-Z]+)*)`");

  @Test
  public void referencePageListsExactlyTheKnownKeys() throws IOException {
    Set<String> documented = new TreeSet<>();
    for (String line : Files.readAllLines(PAGE)) {
      if (line.startsWith("| `")) {
        Matcher keys = KEY.matcher(line.split("\\|")[1]);
        while (keys.find()) {
          documented.add(keys.group(1));
        }
      }
    }
    assertEquals(documented, knownKeys());
  }

  private static Set<String> knownKeys() {
    Set<String> keys = new TreeSet<>();
    for (RecordComponent section : RouterSettings.class.getRecordComponents()) {
      if (section.getType().isRecord()) {
        addKeys(keys, section.getName() + ".", section.getType());
      } else if (section.getName().equals("regions")) {
        addKeys(keys, "regions[].", RouterSettings.Region.class);
      } else {
        keys.add(section.getName());
      }
    }
    return keys;
  }

  private static void addKeys(Set<String> keys, String prefix, Class<?> section) {
    for (RecordComponent component : section.getRecordComponents()) {
      keys.add(prefix + component.getName());
    }
  }
}
