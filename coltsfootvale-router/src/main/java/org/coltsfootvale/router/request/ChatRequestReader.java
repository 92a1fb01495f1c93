package org.coltsfootvale.router.request;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.placement.CacheHint;
import org.coltsfootvale.core.placement.ContinuationTokens;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ModelSpec;
import org.jspecify.annotations.Nullable;

/** Parses and validates chat requests. */
final class ChatRequestReader {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final Pattern CHAT = Pattern.compile("[\\x21-\\x7e]{1,200}");

  private final Supplier<FleetState> fleet;
  private final ContinuationTokens tokens;
  private final ServingSettings settings;
  private final ObjectMapper mapper =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  ChatRequestReader(
      Supplier<FleetState> fleet, ContinuationTokens tokens, ServingSettings settings) {
    this.fleet = fleet;
    this.tokens = tokens;
    this.settings = settings;
  }

  /**
   * Parses a chat request.
   *
   * @throws ColtsfootvaleException MALFORMED_REQUEST, UNKNOWN_MODEL, FORBIDDEN or BODY_TOO_LARGE,
   *     all with outcome NOT_RUN
   */
  ChatRequest read(IncomingRequest request) {
    ObjectNode body = json(request.body());
    ModelSpec model = model(body);
    JsonNode messages = messages(body);
    int promptTokens = promptTokens(messages);
    int outputTokens = outputTokens(body);
    checkLength(model, promptTokens);
    String chat = chat(request, messages);
    return new ChatRequest(
        model.id(),
        chat,
        requestClass(request.headers().get(CallerHeaders.REQUEST_CLASS)),
        promptTokens,
        outputTokens,
        stream(body),
        hint(request, chat),
        engineBody(request.body(), body));
  }

  private ObjectNode json(byte[] body) {
    try {
      if (mapper.readTree(body) instanceof ObjectNode object) {
        return object;
      }
    } catch (JsonProcessingException e) {
      throw malformed("the body is no JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw malformed("the body is no JSON");
    }
    throw malformed("the body is no JSON object");
  }

  private ModelSpec model(ObjectNode body) {
    JsonNode name = body.path("model");
    if (!name.isTextual()) {
      throw malformed("the body has no text member 'model'");
    }
    @Nullable ModelSpec model;
    try {
      model = fleet.get().models().get(new ModelId(name.textValue()));
    } catch (IllegalArgumentException e) {
      model = null;
    }
    if (model == null) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.UNKNOWN_MODEL, "no release note has added the model that the request names");
    }
    return model;
  }

  private static JsonNode messages(ObjectNode body) {
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw malformed("the body has no list 'messages' with at least one message");
    }
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
        throw malformed("each message needs the text members 'role' and 'content'");
      }
    }
    return messages;
  }

  private static int promptTokens(JsonNode messages) {
    long tokens = 0;
    for (JsonNode message : messages) {
      int length = message.path("content").textValue().length();
      tokens += (length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }
    return Math.toIntExact(tokens);
  }

  private int outputTokens(ObjectNode body) {
    JsonNode max = body.path("max_tokens");
    if (max.isMissingNode() || max.isNull()) {
      return settings.outputTokensDefault();
    }
    if (!max.isInt() || max.intValue() < 1) {
      throw malformed("'max_tokens' must be a whole number of at least 1");
    }
    return max.intValue();
  }

  private static void checkLength(ModelSpec model, int promptTokens) {
    if (promptTokens >= model.contextTokensMax()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.BODY_TOO_LARGE,
          "the prompt has about "
              + promptTokens
              + " tokens, but the model takes "
              + model.contextTokensMax()
              + " with the answer");
    }
  }

  private static boolean stream(ObjectNode body) {
    JsonNode stream = body.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw malformed("'stream' must be true or false");
    }
    return stream.asBoolean(false);
  }

  private byte[] engineBody(byte[] original, ObjectNode body) {
    if (body.path("stream").asBoolean(false)) {
      return original;
    }
    body.put("stream", true);
    try {
      return mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw malformed("the body cannot be passed on");
    }
  }

  private static String chat(IncomingRequest request, JsonNode messages) {
    @Nullable String chat = request.headers().get(CallerHeaders.CHAT);
    if (chat == null) {
      String first = messages.get(0).path("role").textValue() + "\n";
      String text = first + messages.get(0).path("content").textValue();
      return Hashing.murmur3_128().hashCharsTo128Bits(text).toString();
    }
    if (!CHAT.matcher(chat).matches()) {
      throw malformed(
          CallerHeaders.CHAT + " must have 1 to 200 printable ASCII characters without spaces");
    }
    return chat;
  }

  private static RequestClass requestClass(@Nullable String text) {
    if (text == null) {
      return RequestClass.QUICK;
    }
    return switch (text.toLowerCase(Locale.ROOT)) {
      case "quick" -> RequestClass.QUICK;
      case "tag" -> RequestClass.TAG;
      case "report" -> RequestClass.REPORT;
      default ->
          throw malformed(CallerHeaders.REQUEST_CLASS + " must be 'quick', 'tag' or 'report'");
    };
  }

  private @Nullable CacheHint hint(IncomingRequest request, String chat) {
    @Nullable String token = request.headers().get(CallerHeaders.CONTINUATION);
    if (token == null) {
      return null;
    }
    OrganisationId organisation = request.organisation();
    return tokens.verify(organisation, chat, token).orElse(null);
  }

  private static ColtsfootvaleException malformed(String detail) {
    return ColtsfootvaleException.notRun(ErrorKind.MALFORMED_REQUEST, detail);
  }
}
