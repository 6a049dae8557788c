/** Benchmark tool: sends a generated load through instances and evaluates the recorded events. */
package org.apricotstand.bench;
