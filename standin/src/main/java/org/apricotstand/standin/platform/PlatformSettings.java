package org.apricotstand.standin.platform;

/**
 * Settings of a stand-in platform.
 *
 * @param address IP number and port to listen on; port 0 takes a free one
 * @param loadsPerSecond rate limit of the weight store
 * @param loadBurst loads that may start at once
 * @param loadsInFlight loads in flight that the weight store serves at full speed
 * @param loadMs time of one load at full speed
 * @param listLagMs age that a change has before the instance list shows it
 */
public record PlatformSettings(
    String address,
    double loadsPerSecond,
    int loadBurst,
    int loadsInFlight,
    long loadMs,
    long listLagMs) {

  /** Lag of the instance list unless an experiment needs another one. */
  public static final long DEFAULT_LIST_LAG_MS = 1_000;

  /** Settings with the usual lag of the instance list. */
  public PlatformSettings(
      String address, double loadsPerSecond, int loadBurst, int loadsInFlight, long loadMs) {
    this(address, loadsPerSecond, loadBurst, loadsInFlight, loadMs, DEFAULT_LIST_LAG_MS);
  }
}
