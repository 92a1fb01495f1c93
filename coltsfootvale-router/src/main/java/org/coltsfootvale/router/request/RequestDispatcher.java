package org.coltsfootvale.router.request;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;

/** Dispatches each request to the handler of its path. */
public final class RequestDispatcher implements RequestHandler {

  /** The path of chats. */
  public static final String CHAT_PATH = "/v1/chat/completions";

  /** The path prefix of plain services. */
  public static final String SERVICES_PATH = "/v1/services/";

  private final RequestHandler chats;
  private final RequestHandler services;

  /** Creates a dispatcher. */
  public RequestDispatcher(ChatService chats, PlainServiceHandler services) {
    this.chats = chats;
    this.services = services;
  }

  @Override
  public void serve(IncomingRequest request, Answer answer) {
    if (request.path().equals(CHAT_PATH)) {
      chats.serve(request, answer);
    } else if (request.path().startsWith(SERVICES_PATH)) {
      services.serve(request, answer);
    } else {
      throw ColtsfootvaleException.notRun(
          ErrorKind.UNKNOWN_RESOURCE, "there is nothing at " + request.path());
    }
  }
}
