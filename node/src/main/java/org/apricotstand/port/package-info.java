/** What the product needs from the systems around it; a translation layer implements these. */
package org.apricotstand.port;
