/** Simulated replacements of the external systems, for tests, trials and benchmarks. */
package org.apricotstand.standin;
