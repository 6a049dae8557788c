package org.apricotstand.standin.platform;

/**
 * Settings of a stand-in platform.
 *
 * @param address IP address and port to listen on; port 0 takes a free one
 * @param loadsPerSecond rate limit of the weight store in loads per second
 * @param loadBurst number of loads that the rate limit lets start at the same time
 * @param loadsInFlight number of concurrent loads that the weight store serves at full speed
 * @param loadMs duration of one load at full speed in milliseconds
 * @param listLagMs time in milliseconds before the instance list shows a change
 */
public record PlatformSettings(
    String address,
    double loadsPerSecond,
    int loadBurst,
    int loadsInFlight,
    long loadMs,
    long listLagMs) {

  /** Default lag of the instance list in milliseconds. */
  public static final long DEFAULT_LIST_LAG_MS = 1_000;

  /** Creates settings with the default lag of the instance list. */
  public PlatformSettings(
      String address, double loadsPerSecond, int loadBurst, int loadsInFlight, long loadMs) {
    this(address, loadsPerSecond, loadBurst, loadsInFlight, loadMs, DEFAULT_LIST_LAG_MS);
  }
}
