package org.apricotstand.kernel;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.observe.EventLog;

/**
 * Registry of the services of one instance. Starts them in the order of registration and stops them
 * in reverse order.
 *
 * <pre>{@code
 * Kernel kernel = new Kernel();
 * kernel.register("control", new ControlThread());
 * kernel.start();
 * ControlThread control = kernel.find("control", ControlThread.class);
 * }</pre>
 */
public final class Kernel implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(Kernel.class);

  private final Map<String, Service> services = new LinkedHashMap<>();
  private boolean started;

  /**
   * Adds a service.
   *
   * @throws IllegalArgumentException if a service of that name is registered already
   * @throws IllegalStateException if the kernel was started already
   */
  public void register(String name, Service service) {
    checkState(!started, "services must be registered before the kernel starts");
    checkArgument(
        services.putIfAbsent(name, service) == null, "service %s is already registered", name);
  }

  /**
   * Returns the service of the given name and type.
   *
   * @throws IllegalArgumentException if no service of that name is registered
   * @throws ClassCastException if the service is of another type
   */
  public <T extends Service> T find(String name, Class<T> type) {
    Service service = services.get(name);
    checkArgument(service != null, "service %s is not registered", name);
    return type.cast(service);
  }

  /** Starts all services. If one fails, stops those already started and rethrows its exception. */
  public void start() {
    started = true;
    List<String> running = new ArrayList<>();
    for (Map.Entry<String, Service> entry : services.entrySet()) {
      try {
        entry.getValue().start();
        running.add(entry.getKey());
      } catch (RuntimeException e) {
        stop(running);
        throw e;
      }
    }
  }

  /** Stops all services in reverse order; logs the exception of a service and goes on. */
  @Override
  public void close() {
    stop(new ArrayList<>(services.keySet()));
  }

  private void stop(List<String> names) {
    for (String name : names.reversed()) {
      try {
        services.get(name).stop();
      } catch (RuntimeException e) {
        LOG.warn("service_stop_failed", "service", name, "error", e.toString());
      }
    }
  }
}
