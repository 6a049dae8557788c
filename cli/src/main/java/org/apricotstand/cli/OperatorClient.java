package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.Addresses;
import org.apricotstand.http.ConnectionUse;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpReply;

/** Command line options and HTTP calls of the commands that use the operator interface. */
final class OperatorClient {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final String TOKEN_VARIABLE = "APRICOTSTAND_OPERATOR_TOKEN";

  @Parameter(
      names = "--operator",
      description = "IP address and port of an operator interface; several separated by commas",
      required = true)
  private List<String> addresses;

  @Parameter(
      names = "--token-file",
      description = "file with the operator token; else " + TOKEN_VARIABLE + " of the environment")
  private String tokenFile;

  /** Reply of an instance, or the reason why there is none. */
  sealed interface Reply {

    /** The instance answered with JSON; the status may be an error. */
    record Answered(int status, JsonNode body) implements Reply {

      /** Returns the code and the detail of an error answer. */
      String errorText() {
        return body.path("error").path("code").asText("status_" + status)
            + ": "
            + body.path("error").path("detail").asText("");
      }
    }

    /** No answer arrived, or it was not JSON. */
    record Unreachable(String reason) implements Reply {}
  }

  List<String> addresses() {
    return addresses;
  }

  /** Returns an error message for the first invalid address, or an empty text. */
  String addressError() {
    return addresses.stream()
        .filter(address -> !Addresses.isValid(address, 1))
        .findFirst()
        .map(address -> "--operator " + address + ": " + Addresses.EXPECTED_FORMAT)
        .orElse("");
  }

  Reply call(HttpResources resources, String method, String address, String path)
      throws IOException {
    HttpCall call =
        new HttpCall(
            method,
            "http://" + address + path,
            java.util.Map.of(),
            new byte[0],
            ControlThread.nowMs() + CALL_TIMEOUT_MS,
            ConnectionUse.OWN);
    String token = token();
    try {
      HttpReply reply =
          resources
              .http()
              .send(token == null ? call : call.withHeader("authorization", "Bearer " + token))
              .join();
      return new Reply.Answered(reply.status(), JSON.readTree(reply.body()));
    } catch (CompletionException e) {
      return new Reply.Unreachable(String.valueOf(e.getCause().getMessage()));
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      return new Reply.Unreachable("the answer is not JSON");
    }
  }

  private String token() throws IOException {
    return tokenFile == null
        ? System.getenv(TOKEN_VARIABLE)
        : Files.readString(Path.of(tokenFile)).strip();
  }
}
