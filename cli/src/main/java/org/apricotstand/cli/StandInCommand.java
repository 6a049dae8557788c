package org.apricotstand.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.http.HttpClient;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.standin.engine.EngineSettings;
import org.apricotstand.standin.engine.StandInEngine;
import org.apricotstand.standin.platform.PlatformSettings;
import org.apricotstand.standin.platform.StandInPlatform;
import org.apricotstand.standin.service.StandInService;

/** Runs a stand-in for an external system until the process is stopped. */
@Parameters(commandDescription = "runs a stand-in: engine, platform or service")
final class StandInCommand implements Command {

  @Parameter(description = "engine|platform|service", required = true)
  private List<String> kind;

  @Parameter(names = "--address", description = "IP address and port; port 0 takes a free one")
  private String address = "127.0.0.1:0";

  @Parameter(names = "--platform", description = "URL of the platform (engine)")
  private String platformUrl = "http://127.0.0.1:9100";

  @Parameter(names = "--name", description = "name (engine)")
  private String name = "engine";

  @Parameter(names = "--slots", description = "adapter slots (engine)")
  private int slots = 4;

  @Parameter(names = "--max-batch", description = "sequences that run at once (engine)")
  private int maxBatch = 8;

  @Parameter(names = "--step-ms", description = "time of one decoding step (engine)")
  private long stepMs = 20;

  @Parameter(names = "--tokens", description = "tokens of an answer (engine)")
  private int tokens = 16;

  @Parameter(names = "--report-lag-ms", description = "age of the state report (engine)")
  private long reportLagMs = EngineSettings.Behavior.DEFAULT.reportLagMs();

  @Parameter(names = "--cold-start-ms", description = "time from a crash to the start (engine)")
  private long coldStartMs = EngineSettings.Behavior.DEFAULT.coldStartMs();

  @Parameter(names = "--crash-marker", description = "text in a prompt that crashes it (engine)")
  private String crashMarker = "";

  @Parameter(names = "--seed", description = "seed of the random numbers (engine)")
  private long seed = 1;

  @Parameter(names = "--list-lag-ms", description = "lag of the instance list (platform)")
  private long listLagMs = PlatformSettings.DEFAULT_LIST_LAG_MS;

  @Parameter(names = "--ignore-fencing", description = "accepts stale fencing tokens (engine)")
  private boolean ignoreFencing;

  @Parameter(names = "--loads-per-second", description = "rate of the weight store (platform)")
  private double loadsPerSecond = 2;

  @Parameter(names = "--load-burst", description = "loads that may start at once (platform)")
  private int loadBurst = 1;

  @Parameter(names = "--loads-in-flight", description = "loads at full speed (platform)")
  private int loadsInFlight = 8;

  @Parameter(names = "--load-ms", description = "time of one load (platform)")
  private long loadMs = 250;

  @Parameter(
      names = {"--identity", "--identity-header"},
      description = "header of the request identity, or JSON pointer into the body (service)")
  private String identityHeader = "x-order-id";

  @Override
  public int run() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    switch (kind.getFirst()) {
      case "engine" -> {
        EngineSettings settings = engineSettings();
        printReady(StandInEngine.start(group, new HttpClient(group), settings).address());
      }
      case "platform" -> {
        PlatformSettings settings =
            new PlatformSettings(
                address, loadsPerSecond, loadBurst, loadsInFlight, loadMs, listLagMs);
        printReady(StandInPlatform.start(group, settings).url());
      }
      case "service" ->
          printReady(
              StandInService.start(group, InstanceSettings.parseAddress(address), identityHeader)
                  .address());
      default -> {
        System.err.println("error: expected engine, platform or service, got " + kind.getFirst());
        return ExitCodes.USAGE;
      }
    }
    new CountDownLatch(1).await();
    return ExitCodes.OK;
  }

  private EngineSettings engineSettings() {
    EngineSettings.Behavior defaults = EngineSettings.Behavior.DEFAULT;
    EngineSettings.Behavior behavior =
        new EngineSettings.Behavior(
            defaults.prefillBlocksPerStep(),
            defaults.cacheBlocks(),
            reportLagMs,
            defaults.cacheEventLagMs(),
            defaults.cacheEventLoss(),
            defaults.resumeMs(),
            coldStartMs,
            crashMarker,
            seed);
    return new EngineSettings(
        name, address, platformUrl, slots, maxBatch, stepMs, tokens, !ignoreFencing, behavior);
  }

  private static void printReady(Object address) {
    System.out.println("ready address=" + address);
  }
}
