package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** Shows the active revision and the state of instances. */
@Parameters(commandDescription = "shows the active revision and the state of instances")
final class StatusCommand implements Command {

  @ParametersDelegate private final OperatorClient client = new OperatorClient();

  @Parameter(names = "--json", description = "prints the answers as JSON, one in a line")
  private boolean json;

  @Override
  public int run() throws IOException {
    if (!client.addressError().isEmpty()) {
      System.err.println("error: " + client.addressError());
      return ExitCodes.USAGE;
    }
    int exitCode = ExitCodes.OK;
    try (HttpResources resources = new HttpResources()) {
      for (String address : client.addresses()) {
        if (!show(address, client.call(resources, "GET", address, "/status"))) {
          exitCode = ExitCodes.FAILED;
        }
      }
    }
    return exitCode;
  }

  private boolean show(String address, OperatorClient.Reply reply) {
    return switch (reply) {
      case OperatorClient.Reply.Answered(int status, JsonNode body) when status == 200 -> {
        System.out.println(json ? body.toString() : describe(address, body));
        yield true;
      }
      case OperatorClient.Reply.Answered answered -> {
        System.err.println("address=" + address + " failed: " + answered.errorText());
        yield false;
      }
      case OperatorClient.Reply.Unreachable(String reason) -> {
        System.err.println("address=" + address + " unreachable: " + reason);
        yield false;
      }
    };
  }

  private static String describe(String address, JsonNode status) {
    StringBuilder text = new StringBuilder();
    text.append("instance=").append(status.path("instance").asText());
    text.append(" address=").append(address);
    text.append(" domain=").append(status.path("domain").asText());
    text.append(" ready=").append(status.path("ready").asBoolean());
    text.append(" draining=").append(status.path("draining").asBoolean());
    text.append(" revision=").append(status.path("revision").asLong());
    text.append(" since=").append(status.path("since").asText());
    text.append(" peers=").append(status.path("connectedPeers").size());
    for (JsonNode engine : status.path("engines")) {
      text.append("\n  engine=").append(engine.path("target").asText());
      text.append(" fencing=").append(engine.path("fencing").asLong());
      text.append(" may_dispatch=").append(engine.path("mayDispatch").asBoolean());
      text.append(" waiting=").append(engine.path("waiting").asInt());
      text.append(" running=").append(engine.path("running").asInt());
      text.append(" resident=").append(engine.path("resident"));
    }
    return text.toString();
  }
}
