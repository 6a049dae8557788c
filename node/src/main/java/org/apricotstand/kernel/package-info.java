/** Micro-kernel: services that register by name and find each other by name. */
package org.apricotstand.kernel;
