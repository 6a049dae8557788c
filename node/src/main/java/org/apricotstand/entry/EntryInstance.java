package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apricotstand.claims.ClaimService;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpMemory;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.operator.OperatorInterface;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.settings.InstanceSettings;

/**
 * A running instance.
 *
 * <pre>{@code
 * try (EntryInstance instance = EntryInstance.start(settings)) {
 *   InetSocketAddress address = instance.callerAddress();
 * }
 * }</pre>
 */
public final class EntryInstance implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(EntryInstance.class);
  private static final int TRAFFIC_THREADS = 2;

  /** Longer than the default timeout of a request, so that requests in progress can end. */
  private static final long DRAIN_TIMEOUT_MS = 45_000;

  private final Kernel kernel;
  private final EventLoopGroup group;
  private final HttpClient http;
  private final CountDownLatch drainRequested;

  private EntryInstance(
      Kernel kernel, EventLoopGroup group, HttpClient http, CountDownLatch drainRequested) {
    this.drainRequested = drainRequested;
    this.kernel = kernel;
    this.group = group;
    this.http = http;
  }

  /** Starts an instance and returns when it listens on its addresses. */
  public static EntryInstance start(InstanceSettings settings) {
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    Metrics metrics = new Metrics();
    HttpMemory memory = HttpMemory.ofBytes(settings.callerLimits().maxHeldBytes(), metrics);
    HttpClient http = new HttpClient(group, memory);
    CountDownLatch drainRequested = new CountDownLatch(1);
    Kernel kernel =
        new InstanceAssembly(settings, group, http, memory, metrics, drainRequested::countDown)
            .assemble();
    kernel.start();
    return new EntryInstance(kernel, group, http, drainRequested);
  }

  /** Returns the address at which the instance listens for callers. */
  public InetSocketAddress callerAddress() {
    return kernel.find("callers", CallerInterface.class).address();
  }

  /** Returns the address at which the instance listens for operators. */
  public InetSocketAddress operatorAddress() {
    return kernel.find("operators", OperatorInterface.class).address();
  }

  /** Waits until an operator requests that this instance drains and leaves. */
  public void awaitDrainRequest() throws InterruptedException {
    drainRequested.await();
  }

  /** Returns the service that keeps the declarations. */
  public ConfigurationService configuration() {
    return kernel.find("configuration", ConfigurationService.class);
  }

  /**
   * Hands over the engines that this instance owns and waits for requests in progress. Logs a
   * warning and returns if that takes longer than the drain timeout.
   */
  public void drain() {
    CallerInterface callers = kernel.find("callers", CallerInterface.class);
    OwnerService owner = kernel.find("owner", OwnerService.class);
    OwnershipService ownership = kernel.find("ownership", OwnershipService.class);
    kernel.find("operators", OperatorInterface.class).drain();
    callers.drain();
    ClaimService claims = kernel.find("claims", ClaimService.class);
    CompletableFuture<Void> drained =
        ownership.drain(() -> callers.isIdle() && owner.isIdle() && claims.isIdle());
    try {
      drained.get(DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.warn("drain_incomplete", "limit_ms", DRAIN_TIMEOUT_MS);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Drains the instance, stops its services and closes its connections. */
  @Override
  public void close() {
    drain();
    kernel.close();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
