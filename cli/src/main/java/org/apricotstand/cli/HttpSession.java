package org.apricotstand.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.apricotstand.configuration.DeclarationApplier;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.platform.PlatformClient;

/** HTTP client for the time of one command. */
final class HttpSession implements AutoCloseable {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpCaller http = new HttpCaller(group);

  HttpCaller http() {
    return http;
  }

  DeclarationApplier applier(String platformUrl) {
    PlatformClient platform = new PlatformClient(http, platformUrl);
    return DeclarationApplier.over(platform, platform);
  }

  @Override
  public void close() {
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
