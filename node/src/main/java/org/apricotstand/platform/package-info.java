/** Ports to the platform's services, and their HTTP clients. */
package org.apricotstand.platform;
