/**
 * Finds the service of a request: routes by host and path prefix, and the services they lead to.
 */
package org.apricotstand.route;
