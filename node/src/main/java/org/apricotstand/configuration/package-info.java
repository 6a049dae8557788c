/** Reads, applies, distributes and activates declarations. */
package org.apricotstand.configuration;
