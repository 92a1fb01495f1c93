package org.coltsfootvale.core.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.deser.std.StdDelegatingDeserializer;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.StdConverter;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.Iterator;
import java.util.Objects;
import java.util.function.Function;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.jspecify.annotations.Nullable;

/** Reads router settings in YAML, merges them over the defaults, and refuses unknown keys. */
public final class SettingsReader {

  private static final String DEFAULTS = "defaults.yaml";

  private final YAMLMapper mapper;

  /** Creates a reader. */
  public SettingsReader() {
    SimpleModule deserializers = new SimpleModule();
    deserializers.addDeserializer(RouterId.class, fromText(RouterId::new));
    deserializers.addDeserializer(DataCentreId.class, fromText(DataCentreId::new));
    deserializers.addDeserializer(HostPort.class, fromText(HostPort::parse));
    mapper =
        YAMLMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .addModule(deserializers)
            .build();
  }

  /**
   * Reads settings.
   *
   * @throws SettingsException if the text is not valid YAML, has an unknown key, lacks a required
   *     one or contains a value out of range; the message contains the line and the remedy
   */
  public RouterSettings read(String yaml) {
    YamlLineIndex lines = readLines(yaml);
    try {
      JsonNode provided = mapper.readTree(yaml);
      if (!(provided instanceof ObjectNode)) {
        throw new SettingsException(1, "the settings must be a mapping with the key 'router'");
      }
      JsonNode merged = merge(readDefaults(), provided);
      return mapper.treeToValue(merged, RouterSettings.class);
    } catch (JsonMappingException e) {
      throw describe(e, lines);
    } catch (JsonProcessingException e) {
      throw syntaxError(e);
    }
  }

  private YamlLineIndex readLines(String yaml) {
    try {
      return YamlLineIndex.read((YAMLFactory) mapper.getFactory(), yaml);
    } catch (JsonProcessingException e) {
      throw syntaxError(e);
    } catch (IOException e) {
      throw new SettingsException(0, "the settings cannot be read: " + e.getMessage());
    }
  }

  private static SettingsException syntaxError(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    int line = location == null ? 0 : location.getLineNr();
    return new SettingsException(line, "invalid YAML: " + e.getOriginalMessage());
  }

  private JsonNode readDefaults() {
    try (InputStream in =
        Objects.requireNonNull(SettingsReader.class.getResourceAsStream(DEFAULTS))) {
      return mapper.readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("the built-in defaults cannot be read", e);
    }
  }

  private static JsonNode merge(JsonNode base, JsonNode overriding) {
    if (!(base instanceof ObjectNode) || !(overriding instanceof ObjectNode)) {
      return overriding;
    }
    ObjectNode result = ((ObjectNode) base).deepCopy();
    Iterator<String> names = overriding.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      JsonNode baseValue = result.get(name);
      JsonNode overridingValue = overriding.get(name);
      result.set(name, baseValue == null ? overridingValue : merge(baseValue, overridingValue));
    }
    return result;
  }

  private static SettingsException describe(JsonMappingException e, YamlLineIndex lines) {
    StringBuilder pointer = new StringBuilder();
    for (JsonMappingException.Reference reference : e.getPath()) {
      pointer.append('/');
      pointer.append(
          reference.getFieldName() == null ? reference.getIndex() : reference.getFieldName());
    }
    Throwable cause = e.getCause();
    String detail = e.getOriginalMessage();
    if (e instanceof UnrecognizedPropertyException unknown) {
      detail =
          String.format(
              "unknown key '%s'; known keys here: %s",
              unknown.getPropertyName(), unknown.getKnownPropertyIds());
    } else if (cause instanceof IllegalArgumentException && cause.getMessage() != null) {
      detail = cause.getMessage();
      if (e instanceof ValueInstantiationException) {
        pointer.append('/').append(detail.split(" ", 2)[0]);
      }
    }
    String path = pointer.length() == 0 ? "" : pointer.substring(1).replace('/', '.') + ": ";
    return new SettingsException(lines.lineOf(pointer.toString()), path + detail);
  }

  private static <T> StdDelegatingDeserializer<T> fromText(Function<String, T> parse) {
    return new StdDelegatingDeserializer<>(new TextConverter<>(parse));
  }

  private static final class TextConverter<T> extends StdConverter<String, T> {

    private final Function<String, T> parse;

    TextConverter(Function<String, T> parse) {
      this.parse = parse;
    }

    @Override
    public @Nullable T convert(@Nullable String text) {
      return text == null ? null : parse.apply(text);
    }
  }
}
