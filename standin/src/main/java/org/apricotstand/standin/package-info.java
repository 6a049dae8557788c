/** Stand-ins of the systems around the product, for tests, trials and benchmarks. */
package org.apricotstand.standin;
