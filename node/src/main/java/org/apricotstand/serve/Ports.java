package org.apricotstand.serve;

import org.apricotstand.port.ConfigurationSource;
import org.apricotstand.port.EngineControl;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.TargetSource;

/**
 * The systems around an instance.
 *
 * @param configuration what the operators declare
 * @param targets list of targets
 * @param store tables that outlive all instances
 * @param engines control interface of the engines
 * @param headers names of the headers of requests
 */
public record Ports(
    ConfigurationSource configuration,
    TargetSource targets,
    RowStore store,
    EngineControl engines,
    HeaderNames headers) {}
