/** Which target gets a request, from what is known of load, residency and health. */
package org.apricotstand.dispatch;
