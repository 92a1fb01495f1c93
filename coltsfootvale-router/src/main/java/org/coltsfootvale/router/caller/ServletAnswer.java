package org.coltsfootvale.router.caller;

import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.router.http.HeadEncoding;
import org.coltsfootvale.router.request.Answer;
import org.coltsfootvale.router.request.ProblemJson;

/** Writes an answer to a caller's connection; a write blocks while the caller reads slowly. */
final class ServletAnswer implements Answer {

  private static final String EVENT_STREAM = "text/event-stream";

  private final HttpServletResponse response;
  private final Headers commonHeaders;
  private final String requestId;
  private final Runnable abort;
  private boolean started;
  private boolean eventStream;
  private boolean lengthKnown;

  /**
   * Creates an answer.
   *
   * @param response the response to write to
   * @param commonHeaders the headers added to every answer
   * @param requestId the request's id
   * @param abort closes the connection without ending the body
   */
  ServletAnswer(
      HttpServletResponse response, Headers commonHeaders, String requestId, Runnable abort) {
    this.response = response;
    this.commonHeaders = commonHeaders;
    this.requestId = requestId;
    this.abort = abort;
  }

  @Override
  public boolean started() {
    return started;
  }

  @Override
  public void head(int status, Headers headers) {
    started = true;
    response.setStatus(status);
    response.setContentType(null);
    for (String name : headers.names()) {
      response.setHeader(name, null);
    }
    headers.forEach(header -> addHeader(header.getFirst(), header.getSecond()));
    commonHeaders.forEach(header -> response.setHeader(header.getFirst(), header.getSecond()));
    String type = headers.get("Content-Type");
    lengthKnown = headers.get("Content-Length") != null;
    eventStream = type != null && type.startsWith(EVENT_STREAM);
  }

  /** Adds a header in UTF-8; the servlet container writes each character as one byte. */
  private void addHeader(String name, String value) {
    HeadEncoding.encode(value).ifPresent(bytes -> response.addHeader(name, bytes));
  }

  @Override
  public void body(byte[] data, int length) {
    try {
      ServletOutputStream output = response.getOutputStream();
      output.write(data, 0, length);
      if (!lengthKnown) {
        output.flush();
      }
    } catch (IOException e) {
      throw new ColtsfootvaleException(
          ErrorKind.CANCELLED,
          org.coltsfootvale.core.error.Outcome.UNKNOWN,
          "the caller went away",
          null,
          e);
    }
  }

  @Override
  public void end() {
    // The servlet container ends the body when the handler returns.
  }

  @Override
  public void fail(ColtsfootvaleException error) {
    if (!started) {
      writeProblem(error);
    } else if (eventStream) {
      writeErrorEvent(error);
    } else {
      abort.run();
    }
  }

  private void writeProblem(ColtsfootvaleException error) {
    byte[] body = ProblemJson.write(error, requestId);
    Headers.Builder headers = ProblemJson.headers(error).newBuilder();
    headers.add("Content-Length", Integer.toString(body.length));
    head(error.kind().httpStatus(), headers.build());
    body(body, body.length);
  }

  private void writeErrorEvent(ColtsfootvaleException error) {
    String data = new String(ProblemJson.write(error, requestId), StandardCharsets.UTF_8);
    byte[] event = ("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    body(event, event.length);
  }
}
