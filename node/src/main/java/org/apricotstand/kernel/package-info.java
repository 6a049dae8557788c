/** Micro-kernel, with which services are registered and looked up by name. */
package org.apricotstand.kernel;
