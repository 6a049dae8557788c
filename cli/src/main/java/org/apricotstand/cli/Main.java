package org.apricotstand.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import org.apricotstand.observe.LogFormat;

/** Entry point of the command line. */
public final class Main {

  @Parameter(
      names = {"--help", "-h"},
      description = "shows this help",
      help = true)
  private boolean help;

  private Main() {}

  /** Runs a command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(runToExitCode(args));
  }

  // Catches all exceptions: one that leaves main would end only this thread, and the traffic
  // threads would keep the process alive although it serves nothing.
  static int runToExitCode(String[] args) {
    try {
      return new Main().run(args);
    } catch (Exception e) {
      System.err.println("error: " + e);
      return ExitCodes.FAILED;
    }
  }

  private int run(String[] args) throws Exception {
    LogFormat.install(Level.INFO);
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("entry", new EntryCommand());
    commands.put("check", new CheckCommand());
    commands.put("apply", new ApplyCommand());
    commands.put("diff", new DiffCommand());
    commands.put("status", new StatusCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("drain", new DrainCommand());
    commands.put("stand-in", new StandInCommand());
    commands.put("bench", new BenchCommand());
    commands.put("try", new TryCommand());
    JCommander parser = JCommander.newBuilder().programName("apricotstand").addObject(this).build();
    commands.forEach(parser::addCommand);
    if (args.length > 1 && commands.containsKey(args[0]) && asksForHelp(args)) {
      StringBuilder text = new StringBuilder();
      parser.getUsageFormatter().usage(args[0], text);
      System.out.println(text + ExitCodes.HELP);
      return ExitCodes.OK;
    }
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      System.err.println("error: " + e.getMessage());
      return ExitCodes.USAGE;
    }
    String name = parser.getParsedCommand();
    if (help || name == null) {
      parser.usage();
      System.out.println(ExitCodes.HELP);
      return help ? ExitCodes.OK : ExitCodes.USAGE;
    }
    try {
      return commands.get(name).run();
    } catch (ParameterException e) {
      System.err.println("error: " + e.getMessage());
      return ExitCodes.USAGE;
    }
  }

  private static boolean asksForHelp(String[] args) {
    return Arrays.stream(args).anyMatch(arg -> arg.equals("--help") || arg.equals("-h"));
  }
}
