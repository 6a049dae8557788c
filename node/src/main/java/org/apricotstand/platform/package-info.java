/** Interfaces to the services of the platform, and the HTTP client that implements them. */
package org.apricotstand.platform;
