package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Shows where an adapter version would be served, and why. */
@Parameters(commandDescription = "shows where an adapter version would be served, and why")
final class ExplainCommand implements Command {

  @ParametersDelegate private final OperatorClient client = new OperatorClient();

  @Parameter(
      names = "--model",
      description = "adapter, alias or ADAPTER@VERSION, as callers name it",
      required = true)
  private String model;

  @Override
  public int run() throws IOException {
    if (!client.addressError().isEmpty() || client.addresses().size() != 1) {
      System.err.println("error: expected one valid --operator address " + client.addressError());
      return ExitCodes.USAGE;
    }
    String path = "/explain?model=" + URLEncoder.encode(model, StandardCharsets.UTF_8);
    try (HttpResources resources = new HttpResources()) {
      return switch (client.call(resources, "GET", client.addresses().getFirst(), path)) {
        case OperatorClient.Reply.Answered(int status, JsonNode body) when status == 200 -> {
          System.out.println(describe(body));
          yield ExitCodes.OK;
        }
        case OperatorClient.Reply.Answered answered -> reportFailure(answered.errorText());
        case OperatorClient.Reply.Unreachable(String reason) ->
            reportFailure("unreachable: " + reason);
      };
    }
  }

  private static int reportFailure(String reason) {
    System.err.println("failed: " + reason);
    return ExitCodes.FAILED;
  }

  private static String describe(JsonNode explained) {
    StringBuilder text = new StringBuilder();
    text.append("model=").append(explained.path("model").asText());
    text.append(" adapter_version=").append(explained.path("adapterVersion").asText());
    text.append(" revision=").append(explained.path("revision").asLong());
    text.append(" class=").append(explained.path("requestClass").asText());
    text.append(" pinned=").append(explained.path("pinned").asBoolean());
    text.append(" replicas=").append(explained.path("replicas").asInt());
    text.append("\nversion: ").append(explained.path("route").asText());
    for (JsonNode candidate : explained.path("candidates")) {
      text.append("\n  rank=").append(candidate.path("rank").asInt());
      text.append(" target=").append(candidate.path("target").asText());
      text.append(" domain=").append(candidate.path("domain").asText());
      text.append(" owner=").append(candidate.path("owner").asText());
      text.append(" residency=").append(candidate.path("residency").asText());
      text.append(" reason: ").append(candidate.path("reason").asText());
    }
    return text.toString();
  }
}
