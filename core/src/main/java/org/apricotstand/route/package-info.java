/**
 * Which service a request goes to: routes by host and path prefix, and the services behind them.
 */
package org.apricotstand.route;
