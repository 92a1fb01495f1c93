package org.coltsfootvale.core.release;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.ServiceId;

/** Object mappers that parse release records strictly and write them compactly. */
final class ReleaseMappers {

  private static final Set<Class<?>> IDENTIFIERS =
      Set.of(
          DataCentreId.class,
          EngineId.class,
          ModelId.class,
          OrganisationId.class,
          PoolId.class,
          ServiceId.class);

  private ReleaseMappers() {}

  /** Returns the mapper for the YAML of operators. */
  static ObjectMapper yaml() {
    return strict(YAMLMapper.builder()).build();
  }

  /** Returns the mapper for compact JSON, which omits empty lists. */
  static ObjectMapper compact() {
    return strict(JsonMapper.builder())
        .addModule(new JavaTimeModule())
        .enable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
        .disable(SerializationFeature.WRITE_DATE_TIMESTAMPS_AS_NANOSECONDS)
        .disable(DeserializationFeature.READ_DATE_TIMESTAMPS_AS_NANOSECONDS)
        .defaultPropertyInclusion(
            JsonInclude.Value.construct(
                JsonInclude.Include.NON_EMPTY, JsonInclude.Include.NON_EMPTY))
        .build();
  }

  private static <M extends ObjectMapper, B extends MapperBuilder<M, B>> B strict(B builder) {
    IDENTIFIERS.forEach(type -> builder.addMixIn(type, Identifier.class));
    builder.annotationIntrospector(new RequiredFields());
    builder.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION);
    builder.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    builder.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    builder.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS);
    builder.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
    builder.withConfigOverride(
        List.class,
        override -> override.setSetterInfo(JsonSetter.Value.construct(Nulls.AS_EMPTY, Nulls.FAIL)));
    builder.withConfigOverride(
        String.class,
        override -> override.setSetterInfo(JsonSetter.Value.forValueNulls(Nulls.FAIL)));
    return builder;
  }

  /** Maps an identifier to a plain string. */
  private abstract static class Identifier {

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    @SuppressWarnings("UnusedVariable")
    Identifier(String value) {}

    @JsonValue
    abstract String value();
  }

  /** Requires all fields except lists that may be empty and the sections of a note. */
  private static final class RequiredFields extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;

    private static final Set<Class<?>> OPTIONAL_TYPES =
        Set.of(ReleaseNote.Items.class, ReleaseNote.Ids.class, PolicySpec.class);

    @Override
    public Boolean hasRequiredMarker(AnnotatedMember member) {
      Class<?> type = member.getRawType();
      boolean optionalList =
          type == List.class
              && (OPTIONAL_TYPES.contains(member.getDeclaringClass())
                  || member.getDeclaringClass() == PoolSpec.class);
      return !optionalList && !OPTIONAL_TYPES.contains(type);
    }
  }
}
