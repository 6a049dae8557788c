package org.apricotstand.standin.service;

/**
 * One run of a request at a plain service.
 *
 * @param atMs monotonic time
 * @param identity request identity, or empty
 * @param path path of the request
 * @param run number of the run of this identity, from 1
 */
public record ServiceEvent(long atMs, String identity, String path, int run) {}
