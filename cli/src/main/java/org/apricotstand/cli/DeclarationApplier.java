package org.apricotstand.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Condition;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.platform.TableService.Write;
import org.apricotstand.settings.YamlFiles;

/** Writes a set of declarations to the platform and moves the head row to it. */
final class DeclarationApplier {

  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private DeclarationApplier() {}

  static Result<Long> apply(String platformUrl, Path folder) throws IOException {
    Result<DeclarationSet> set = readFolder(folder);
    if (set instanceof Result.Failed<DeclarationSet>(Failure failure)) {
      return Result.failed(failure);
    }
    DeclarationSet declarations = ((Result.Ok<DeclarationSet>) set).value();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (HttpCaller http = new HttpCaller(group)) {
      return commit(new PlatformClient(http, platformUrl), JSON.writeValueAsBytes(declarations));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static Result<Long> commit(PlatformClient platform, byte[] content) {
    String hash = Hashing.sha256().hashBytes(content).toString();
    Result<Void> stored = platform.put(hash, content, deadlineMs()).join();
    if (stored instanceof Result.Failed<Void>(Failure failure)) {
      return Result.failed(failure);
    }
    Result<Optional<Row>> head =
        platform
            .read(ConfigurationService.HEAD_TABLE, ConfigurationService.HEAD_KEY, deadlineMs())
            .join();
    return switch (head) {
      case Result.Failed<Optional<Row>>(Failure failure) -> Result.failed(failure);
      case Result.Ok<Optional<Row>>(Optional<Row> row) -> moveHead(platform, row, hash);
    };
  }

  private static Result<Long> moveHead(PlatformClient platform, Optional<Row> row, String hash) {
    long revision = row.map(head -> head.value().path("revision").asLong()).orElse(0L) + 1;
    Map<String, Object> value =
        Map.of("revision", revision, "contentHash", hash, "nonce", UUID.randomUUID().toString());
    Transaction transaction =
        new Transaction(
            List.of(
                new Condition(
                    ConfigurationService.HEAD_TABLE,
                    ConfigurationService.HEAD_KEY,
                    row.map(Row::version).orElse(0L))),
            List.of(
                new Write(
                    ConfigurationService.HEAD_TABLE,
                    ConfigurationService.HEAD_KEY,
                    PlatformClient.tree(value))));
    return switch (platform.commit(transaction, deadlineMs()).join()) {
      case Result.Ok<CommitResult>(CommitResult.Committed committed) -> Result.ok(revision);
      case Result.Ok<CommitResult>(CommitResult.Conflict conflict) ->
          Result.failed(
              new Failure(Step.PLATFORM, "head", "conflict", "another change was accepted"));
      case Result.Failed<CommitResult>(Failure failure) -> Result.failed(failure);
    };
  }

  private static Result<DeclarationSet> readFolder(Path folder) throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(folder)) {
      files = found.filter(file -> file.toString().endsWith(".yaml")).sorted().toList();
    }
    List<DeclarationSet> parts = new ArrayList<>();
    for (Path file : files) {
      switch (YamlFiles.read(file, DeclarationSet.class)) {
        case Result.Ok<DeclarationSet>(DeclarationSet part) -> parts.add(part);
        case Result.Failed<DeclarationSet>(Failure failure) -> {
          return Result.failed(failure);
        }
      }
    }
    return Result.ok(merge(parts));
  }

  private static DeclarationSet merge(List<DeclarationSet> parts) {
    return new DeclarationSet(
        parts.stream().flatMap(part -> part.models().stream()).toList(),
        parts.stream().flatMap(part -> part.adapters().stream()).toList(),
        parts.stream().flatMap(part -> part.aliases().stream()).toList(),
        parts.stream().flatMap(part -> part.services().stream()).toList(),
        parts.stream().flatMap(part -> part.targets().stream()).toList(),
        parts.stream()
            .map(DeclarationSet::policy)
            .filter(policy -> policy != DeclarationSet.Policy.DEFAULT)
            .findFirst()
            .orElse(null));
  }

  private static long deadlineMs() {
    return ControlThread.nowMs() + CALL_TIMEOUT_MS;
  }
}
