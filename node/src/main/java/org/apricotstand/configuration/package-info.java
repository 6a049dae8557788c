/** The declarations in force at this instance. */
package org.apricotstand.configuration;
