package org.apricotstand.standin.platform;

/**
 * Settings of a stand-in platform.
 *
 * @param address IP number and port to listen on; port 0 takes a free one
 * @param loadsPerSecond rate limit of the weight store
 * @param loadBurst loads that may start at once
 * @param loadsInFlight loads in flight that the weight store serves at full speed
 * @param loadMs time of one load at full speed
 */
public record PlatformSettings(
    String address, double loadsPerSecond, int loadBurst, int loadsInFlight, long loadMs) {}
