package org.apricotstand.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;

/** Asks instances to drain: to finish their requests in progress and accept no others. */
@Parameters(commandDescription = "asks instances to finish their requests and leave")
final class DrainCommand implements Command {

  private static final int ACCEPTED = 202;

  @ParametersDelegate private final OperatorClient client = new OperatorClient();

  @Override
  public int run() throws IOException {
    if (!client.addressError().isEmpty()) {
      System.err.println("error: " + client.addressError());
      return ExitCodes.USAGE;
    }
    int exitCode = ExitCodes.OK;
    try (HttpResources resources = new HttpResources()) {
      for (String address : client.addresses()) {
        OperatorClient.Reply reply = client.call(resources, "POST", address, "/drain");
        if (reply instanceof OperatorClient.Reply.Answered answered
            && answered.status() == ACCEPTED) {
          System.out.println("address=" + address + " draining");
        } else {
          exitCode = ExitCodes.FAILED;
          System.err.println("address=" + address + " failed: " + describe(reply));
        }
      }
    }
    return exitCode;
  }

  private static String describe(OperatorClient.Reply reply) {
    return switch (reply) {
      case OperatorClient.Reply.Answered answered -> answered.errorText();
      case OperatorClient.Reply.Unreachable(String reason) -> "unreachable: " + reason;
    };
  }
}
