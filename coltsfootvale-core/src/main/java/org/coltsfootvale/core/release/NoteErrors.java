package org.coltsfootvale.core.release;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.jspecify.annotations.Nullable;

/** Describes parser errors with the line, the field and the remedy. */
final class NoteErrors {

  private static final String MISSING_PROPERTY_MESSAGE = "Missing required creator property";

  private NoteErrors() {}

  /** Returns an error of kind INVALID_NOTE. */
  static ColtsfootvaleException invalid(String detail, @Nullable Throwable cause) {
    return new ColtsfootvaleException(ErrorKind.INVALID_NOTE, Outcome.NOT_RUN, detail, null, cause);
  }

  /** Returns one sentence with the line, the field and the remedy. */
  static String describe(JsonProcessingException failure, String yaml) {
    return describeAt(failure, line(failure, yaml) + field(failure));
  }

  /** Returns one sentence with the field and the error. */
  static String describe(JsonProcessingException failure) {
    return describeAt(failure, field(failure));
  }

  private static String describeAt(JsonProcessingException failure, String location) {
    if (failure instanceof UnrecognizedPropertyException unknown) {
      return location + " is not known; known here are: " + knownFields(unknown) + ".";
    }
    if (failure instanceof ValueInstantiationException rejected) {
      Throwable cause = rejected.getCause();
      String reason = cause == null ? null : cause.getMessage();
      return location + (reason == null ? " lacks a value; write one." : ": " + reason + ".");
    }
    if (failure instanceof MismatchedInputException mismatch) {
      return location + mismatch(mismatch);
    }
    return location + ": " + firstLine(failure) + "; correct the YAML.";
  }

  private static String mismatch(MismatchedInputException failure) {
    if (failure.getOriginalMessage().startsWith(MISSING_PROPERTY_MESSAGE)) {
      return " is missing; add it.";
    }
    return " has the wrong form; " + remedyFor(failure.getTargetType());
  }

  private static String line(JsonProcessingException failure, String yaml) {
    if (failure instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
      return "Line " + new YamlLineIndex(yaml).lineOf(mapping.getPath()) + ", ";
    }
    JsonLocation location = failure.getLocation();
    return location == null ? "" : "Line " + location.getLineNr() + ", ";
  }

  private static String field(JsonProcessingException failure) {
    if (!(failure instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
      return "the note";
    }
    return "field '" + path(mapping.getPath()) + "'";
  }

  private static String path(List<JsonMappingException.Reference> references) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference reference : references) {
      if (reference.getFieldName() == null) {
        path.append('[').append(reference.getIndex()).append(']');
        continue;
      }
      if (path.length() > 0) {
        path.append('.');
      }
      path.append(reference.getFieldName());
    }
    return path.toString();
  }

  private static String knownFields(UnrecognizedPropertyException failure) {
    Collection<Object> ids = failure.getKnownPropertyIds();
    TreeSet<String> names = new TreeSet<>();
    if (ids != null) {
      ids.forEach(id -> names.add(String.valueOf(id)));
    }
    return String.join(", ", names);
  }

  private static String remedyFor(@Nullable Class<?> type) {
    if (type == boolean.class) {
      return "write true or false.";
    }
    if (type == int.class || type == long.class) {
      return "write a whole number, the unit is part of the field's name.";
    }
    if (type == double.class) {
      return "write a plain number, the unit is part of the field's name.";
    }
    if (type != null && Collection.class.isAssignableFrom(type)) {
      return "write a list without empty items.";
    }
    if (type == String.class) {
      return "write a text, in quotes if it looks like a number.";
    }
    return "write the fields that the release notes page names.";
  }

  private static String firstLine(JsonProcessingException failure) {
    String message = failure.getOriginalMessage();
    int end = message.indexOf('\n');
    return end < 0 ? message : message.substring(0, end);
  }
}
