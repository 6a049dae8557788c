package org.apricotstand.serve;

import org.apricotstand.port.ConfigurationSource;
import org.apricotstand.port.EngineControl;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.TargetSource;

/**
 * The interfaces to the external systems that an instance depends on.
 *
 * @param configuration declarations of the operators
 * @param targets list of targets
 * @param store tables that outlive all instances
 * @param engines control interface of the engines
 * @param headers names of the headers of requests
 */
public record ExternalSystems(
    ConfigurationSource configuration,
    TargetSource targets,
    RowStore store,
    EngineControl engines,
    HeaderNames headers) {}
