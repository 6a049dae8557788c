/** Stand-in for the platform: table service, object store, weight store and instance list. */
package org.apricotstand.standin.platform;
