package org.apricotstand.overlay;

/**
 * An instance as it registered itself.
 *
 * @param name name of the instance
 * @param domain its failure domain
 * @param relayCapacity declared capacity to relay the messages of others; larger is better
 */
public record OverlayInstance(String name, String domain, int relayCapacity) {

  private static final int CAPACITY_PER_CORE = 100;

  /**
   * Returns the capacity of an instance to relay messages. The scarcer resource decides: a full
   * core counts as much as a link of 100 Mbit/s.
   *
   * @param processorCores processor share of the instance, in cores
   * @param linkMbps bandwidth of its network link, in Mbit/s
   */
  public static int relayCapacityOf(double processorCores, double linkMbps) {
    return (int) Math.min(processorCores * CAPACITY_PER_CORE, linkMbps);
  }
}
