package org.apricotstand.standin.service;

/**
 * One run of a request at a plain service.
 *
 * @param atMs monotonic time in milliseconds
 * @param identity request identity, or empty
 * @param path path of the request
 * @param run number of this run among the runs of the same identity, from 1
 */
public record ServiceEvent(long atMs, String identity, String path, int run) {}
