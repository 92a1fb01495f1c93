package org.coltsfootvale.core.release;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.util.List;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Reads notes of operators as YAML, and reads and writes accepted notes as compact JSON.
 * Thread-safe.
 */
public final class YamlReleaseNoteCodec implements ReleaseNoteCodec {

  /** The maximum length of a note's YAML in characters. */
  public static final int YAML_CHARACTERS_MAX = 512 * 1024;

  private final ObjectReader yamlReader;
  private final ObjectReader compactReader;
  private final ObjectWriter compactWriter;

  /** Creates the codec. */
  public YamlReleaseNoteCodec() {
    ObjectMapper compact = ReleaseMappers.compact();
    this.yamlReader = ReleaseMappers.yaml().readerFor(NoteDocument.class);
    this.compactReader = compact.readerFor(AcceptedNote.class);
    this.compactWriter = compact.writerFor(AcceptedNote.class);
  }

  @Override
  public ReleaseNote readYaml(String yaml) {
    if (yaml.isBlank()) {
      throw invalid("The note is empty; give an id and at least one change.", null);
    }
    if (yaml.length() > YAML_CHARACTERS_MAX) {
      throw invalid(
          "The note has "
              + yaml.length()
              + " characters; split it into notes of at most "
              + YAML_CHARACTERS_MAX
              + ".",
          null);
    }
    try {
      NoteDocument document = yamlReader.readValue(yaml);
      return document.toNote();
    } catch (JsonProcessingException e) {
      throw invalid(NoteErrors.describe(e, yaml), e);
    }
  }

  @Override
  public byte[] write(AcceptedNote note) {
    try {
      return compactWriter.writeValueAsBytes(note);
    } catch (JsonProcessingException e) {
      throw invalid("Note '" + note.note().id() + "' cannot be written.", e);
    }
  }

  @Override
  public AcceptedNote read(byte[] bytes) {
    try {
      return compactReader.readValue(bytes);
    } catch (JsonProcessingException e) {
      throw invalid("A stored note cannot be read: " + NoteErrors.describe(e), e);
    } catch (IOException e) {
      throw invalid("A stored note cannot be read.", e);
    }
  }

  private static ColtsfootvaleException invalid(String detail, @Nullable Throwable cause) {
    return NoteErrors.invalid(detail, cause);
  }

  /** A note as written by operators; every section may be missing. */
  record NoteDocument(
      String id,
      ReleaseNote.@Nullable Items added,
      ReleaseNote.@Nullable Items changed,
      ReleaseNote.@Nullable Ids withdrawn) {

    ReleaseNote toNote() {
      if (added != null && added.policy() != null) {
        throw ColtsfootvaleException.notRun(
            ErrorKind.INVALID_NOTE,
            "Field 'added.policy' is not allowed; the policy always exists, give it under"
                + " 'changed'.");
      }
      return new ReleaseNote(
          id,
          added == null ? emptyItems() : added,
          changed == null ? emptyItems() : changed,
          withdrawn == null ? emptyIds() : withdrawn);
    }

    private static ReleaseNote.Items emptyItems() {
      return new ReleaseNote.Items(
          List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), null);
    }

    private static ReleaseNote.Ids emptyIds() {
      return new ReleaseNote.Ids(List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
    }
  }
}
