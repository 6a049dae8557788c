package org.apricotstand.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apricotstand.Apricotstand;
import org.apricotstand.configuration.DeclarationApplier;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.http.HttpClient;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.revision.ApplyOutcome;
import org.apricotstand.settings.ValidationResult;

/** HTTP client and its event loop, which live as long as one command runs. */
final class HttpResources implements AutoCloseable {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http = new HttpClient(group);

  HttpClient http() {
    return http;
  }

  DeclarationApplier createApplier(String platformUrl) {
    PlatformClient platform = new PlatformClient(http, platformUrl);
    return DeclarationApplier.withSystemClock(platform, platform);
  }

  /**
   * Checks and applies a folder of declaration files.
   *
   * @return the accepted revision, also when the declarations are unchanged
   */
  static Result<Long> apply(String platformUrl, Path files) {
    return switch (Apricotstand.readDeclarations(files)) {
      case ValidationResult.Invalid<DeclarationSet> invalid ->
          failed("invalid_file", invalid.report());
      case ValidationResult.Valid<DeclarationSet>(DeclarationSet set) -> {
        try (HttpResources resources = new HttpResources()) {
          String nonce = UUID.randomUUID().toString();
          yield switch (resources
              .createApplier(platformUrl)
              .apply(set, nonce, OptionalLong.empty())) {
            case ApplyOutcome.Accepted(long revision) -> Result.ok(revision);
            case ApplyOutcome.Unchanged(long revision) -> Result.ok(revision);
            case ApplyOutcome other -> failed("not_accepted", other.toString());
          };
        }
      }
    };
  }

  private static Result<Long> failed(String code, String detail) {
    return Result.failed(new Failure(Step.ADMISSION, "declarations", code, detail));
  }

  @Override
  public void close() {
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
